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

// serialBits is the length of a certificate's random serial number in bits.
const serialBits = 127

// ErrNoAuthority means that PEM data don't hold a CA certificate with an Ed25519 private key.
var ErrNoAuthority = errors.New("no certificate authority with an Ed25519 key in the PEM data")

// KeyPair is a certificate with its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority generates the key and self-signed certificate of a site's authority, which issues the certificates of the
// site's routers.
func NewAuthority(name string, lifetime time.Duration) (KeyPair, error) {
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generating the authority's key: %w", err)
	}
	return sign(template, template, public, private, private)
}

// Issue generates a key for the router on an instance and a certificate that the authority p signs. The instance is the
// certificate's only DNS name.
func (p KeyPair) Issue(instance string, lifetime time.Duration) (KeyPair, error) {
	parent, signer, err := p.parse()
	if err != nil {
		return KeyPair{}, err
	}
	template, err := newTemplate(instance, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.DNSNames = []string{instance}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generating the instance's key: %w", err)
	}
	return sign(template, parent, public, private, signer)
}

// newTemplate returns a template with the fields that all certificates need. The validity starts maxClockSkew before now,
// so that routers whose clocks are slow accept a new certificate.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generating a serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// maxClockSkew is the difference between the clocks of a site's routers that certificates tolerate.
const maxClockSkew = time.Hour

// sign creates a certificate from a template with the parent's signature, and encodes it and its private key as PEM.
func sign(template, parent *x509.Certificate, public ed25519.PublicKey, private, signer ed25519.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		return KeyPair{}, fmt.Errorf("signing the certificate: %w", err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encoding the key: %w", err)
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	}, nil
}

// parse decodes the certificate and key of an authority. It fails with ErrNoAuthority if they are not those of a CA with an
// Ed25519 key.
func (p KeyPair) parse() (*x509.Certificate, ed25519.PrivateKey, error) {
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
