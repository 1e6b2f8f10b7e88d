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

// ErrUntrusted reports a certificate that the roster doesn't list for its instance.
var ErrUntrusted = errors.New("certificate is not the one in the roster")

// pinnedLifetime is how long a certificate that is made at the start is valid; a router runs for less.
const pinnedLifetime = 365 * 24 * time.Hour

// Router is what a router tells the others of itself.
type Router struct {
	Instance string
	// Address is an IP address with a UDP port.
	Address string
	// Fingerprint is the SHA-256 digest of its certificate, in hexadecimal.
	Fingerprint string
	// Region is where it runs.
	Region string `json:",omitempty"`
	// Capacity is its part of a processor core; zero if it didn't say.
	Capacity float64 `json:",omitempty"`
}

// Roster holds what the routers of a site told of themselves. Only routers may write where it is read from. Its zero
// value is empty.
type Roster struct {
	mu      sync.Mutex
	routers map[string]Router
	changes int64
}

// Put takes a router's newest entry in.
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

// Changes counts the changes since the start, so that readers know whether what they made of the roster still holds.
func (r *Roster) Changes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Router returns the newest entry of an instance.
func (r *Roster) Router(instance string) (Router, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	router, ok := r.routers[instance]
	return router, ok
}

// Len returns the number of instances.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.routers)
}

// All returns the entries of all instances.
func (r *Roster) All() []Router {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.routers))
}

// Pinned identifies a router by a certificate that it made itself and listed in the roster.
type Pinned struct {
	Instance string
	// Fingerprint is what the roster must list for this router.
	Fingerprint string

	certificate tls.Certificate
	roster      *Roster
}

// NewPinned makes a key and a certificate for an instance.
func NewPinned(instance string, roster *Roster) (*Pinned, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("making a key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return nil, fmt.Errorf("making a serial number: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, DNSNames: []string{instance}, NotAfter: time.Now().Add(pinnedLifetime),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("making a certificate: %w", err)
	}
	return &Pinned{
		Instance: instance, Fingerprint: fingerprint(encoded), roster: roster,
		certificate: tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key},
	}, nil
}

func fingerprint(certificate []byte) string {
	digest := sha256.Sum256(certificate)
	return hex.EncodeToString(digest[:])
}

func (p *Pinned) validate() (string, error) {
	if p.Instance == "" {
		return "", ErrNoName
	}
	return p.Instance, nil
}

func (p *Pinned) serverConfig() *tls.Config {
	config := p.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := p.verify(state.PeerCertificates)
		return err
	}
	return config
}

func (p *Pinned) clientConfig(instance string) (*tls.Config, error) {
	if _, ok := p.roster.Router(instance); !ok {
		return nil, ErrUntrusted
	}
	config := p.config()
	// The roster takes the place of an authority: VerifyConnection checks the certificate itself.
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

func (p *Pinned) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, Certificates: []tls.Certificate{p.certificate},
	}
}

// verify returns the instance that a certificate stands for if the roster lists it.
func (p *Pinned) verify(certificates []*x509.Certificate) (string, error) {
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
