package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/big"
	"slices"
	"sync"
	"time"
)

// ErrUntrusted means that the roster has no entry for an instance, or lists another certificate for it.
var ErrUntrusted = errors.New("certificate is not the one in the roster")

// pinnedLifetime is the validity of the certificate that a router creates at its start. The certificate is not renewed,
// because a router process is expected to run for less than this time.
const pinnedLifetime = 365 * 24 * time.Hour

// Router is a router's entry in the roster, which the router publishes itself.
type Router struct {
	Instance string
	// Address is an IP address with a UDP port.
	Address string
	// Fingerprint is the SHA-256 digest of the router's certificate in DER, in hexadecimal.
	Fingerprint string
	// Region is the region in which the router runs.
	Region string `json:",omitempty"`
	// Capacity is the share of processor time that the router has, in cores, or zero if unknown.
	Capacity float64 `json:",omitempty"`
}

// Roster holds the newest entry of each router of a site. PinnedIdentity trusts it, so that only routers may have write
// access to the place that its entries are read from. The zero value is empty. A Roster is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex
	routers map[string]Router
	changes int64
}

// Put sets the roster entry of a router's instance. An entry equal to the present one does not count as a change.
func (r *Roster) Put(router Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routers == nil {
		r.routers = make(map[string]Router)
	}
	if r.routers[router.Instance] != router {
		r.routers[router.Instance] = router
		r.changes++
	}
}

// ChangeCount returns the number of changes since the roster was created. Callers that cache results derived from the
// roster compare the number to find out whether the results are out of date.
func (r *Roster) ChangeCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Router returns the entry of the router on an instance, and false if there is none.
func (r *Roster) Router(instance string) (Router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	router, ok := r.routers[instance]
	return router, ok
}

// Len returns the number of routers in the roster.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.routers)
}

// Routers returns the entries of all routers in unspecified order.
func (r *Roster) Routers() []Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.routers))
}

// PinnedIdentity is an Identity with a self-signed certificate, which other routers trust because its fingerprint is in
// the roster.
type PinnedIdentity struct {
	Instance string
	// Fingerprint is the SHA-256 digest of the router's certificate, which the router must publish in its roster entry.
	Fingerprint string

	certificate tls.Certificate
	roster      *Roster
}

// NewPinned generates a key and a self-signed certificate for the router on an instance. It verifies other routers with the
// roster.
func NewPinned(instance string, roster *Roster) (*PinnedIdentity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generating a key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, fmt.Errorf("generating a serial number: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, DNSNames: []string{instance}, NotAfter: time.Now().Add(pinnedLifetime),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("creating a certificate: %w", err)
	}
	return &PinnedIdentity{
		Instance: instance, Fingerprint: fingerprint(encoded), roster: roster,
		certificate: tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key},
	}, nil
}

// fingerprint returns the SHA-256 digest of a certificate in DER, in hexadecimal.
func fingerprint(certificate []byte) string {
	digest := sha256.Sum256(certificate)
	return hex.EncodeToString(digest[:])
}

func (p *PinnedIdentity) validate() (string, error) {
	if p.Instance == "" {
		return "", ErrNoName
	}
	return p.Instance, nil
}

// serverConfig implements Identity. It requires a client certificate that the roster lists. Sessions are not resumed.
func (p *PinnedIdentity) serverConfig() *tls.Config {
	config := p.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := p.verify(state.PeerCertificates)
		return err
	}
	return config
}

// clientConfig implements Identity. It requires the server certificate that the roster lists for the instance, and fails with
// ErrUntrusted if the roster lists none.
func (p *PinnedIdentity) clientConfig(instance string) (*tls.Config, error) {
	if _, ok := p.roster.Router(instance); !ok {
		return nil, ErrUntrusted
	}
	config := p.config()
	// There is no authority to verify self-signed certificates with: VerifyConnection compares them to the roster instead.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		name, err := p.verify(state.PeerCertificates)
		if err == nil && name != instance {
			err = ErrUntrusted
		}
		return err
	}
	return config, nil
}

// config returns the TLS settings that servers and clients share.
func (p *PinnedIdentity) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, Certificates: []tls.Certificate{p.certificate},
	}
}

// verify returns the instance in a certificate if the roster lists that certificate for the instance, else ErrUntrusted or
// ErrNoName.
func (p *PinnedIdentity) verify(certificates []*x509.Certificate) (string, error) {
	if len(certificates) == 0 {
		return "", ErrUntrusted
	}
	name, err := instanceName(certificates[0])
	if err != nil {
		return "", err
	}
	listed, ok := p.roster.Router(name)
	if !ok || listed.Fingerprint != fingerprint(certificates[0].Raw) {
		return "", ErrUntrusted
	}
	return name, nil
}
