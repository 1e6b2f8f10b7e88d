package peer

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// serialBits is the length of a certificate's serial number.
const serialBits = 127

// ErrNoAuthority reports PEM data that hold no authority's certificate and key.
var ErrNoAuthority = errors.New("no authority's certificate and key")

// Pair is a certificate with its key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes a site's authority, which issues the certificates of its routers.
func NewAuthority(name string, lifetime time.Duration) (Pair, error) {
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("making the authority's key: %w", err)
	}
	return sign(template, template, public, private, private)
}

// Issue makes a certificate for an instance. Its only name is the instance's.
func (p Pair) Issue(instance string, lifetime time.Duration) (Pair, error) {
	parent, signer, err := p.parse()
	if err != nil {
		return Pair{}, err
	}
	template, err := newTemplate(instance, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{instance}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("making the instance's key: %w", err)
	}
	return sign(template, parent, public, private, signer)
}

// newTemplate returns what all certificates share. They hold from a little before now on, because the
// clocks of a site differ.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("making a serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// maxClockSkew is how far the clocks of a site may differ.
const maxClockSkew = time.Hour

func sign(template, parent *x509.Certificate, public ed25519.PublicKey, private, signer ed25519.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return Pair{}, fmt.Errorf("signing the certificate: %w", err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return Pair{}, fmt.Errorf("encoding the key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	}, nil
}

func (p Pair) parse() (*x509.Certificate, ed25519.PrivateKey, error) {
	certificateBlock, _ := pem.Decode(p.Certificate)
	keyBlock, _ := pem.Decode(p.Key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, nil, ErrNoAuthority
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the authority's certificate: %w", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the authority's key: %w", err)
	}
	private, isEd25519 := key.(ed25519.PrivateKey)
	if !isEd25519 || !certificate.IsCA {
		return nil, nil, ErrNoAuthority
	}
	return certificate, private, nil
}
