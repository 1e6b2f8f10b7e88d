package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// alpnProtocol is the name that both ends have to agree on.
const alpnProtocol = "dragonfly-peer/1"

// ErrNoName reports a certificate without the name of an instance.
var ErrNoName = errors.New("certificate names no instance")

// Identity is how a router shows who it is and knows the others: by Credentials or by a Pinned certificate.
type Identity interface {
	// validate reports a mistake at the start. It returns the instance's name.
	validate() (string, error)
	serverConfig() *tls.Config
	clientConfig(instance string) (*tls.Config, error)
}

// Credentials are the files with this instance's certificate, its key and the site's authority, all in
// PEM. They are read anew for each handshake, so that a rotation needs no restart.
type Credentials struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

func (c Credentials) validate() (string, error) { return c.Check() }

// Check reads the files once, so that a mistake shows at the start. It returns the instance's name.
func (c Credentials) Check() (string, error) {
	pair, err := c.loadCertificate()
	if err != nil {
		return "", err
	}
	if _, err := c.loadAuthority(); err != nil {
		return "", err
	}
	return instanceName(pair.Leaf)
}

func (c Credentials) loadCertificate() (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("reading the certificate: %w", err)
	}
	return &pair, nil
}

func (c Credentials) loadAuthority() (*x509.CertPool, error) {
	data, err := os.ReadFile(c.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("reading the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("reading the authority: %s holds no certificate", c.AuthorityFile)
	}
	return pool, nil
}

// instanceName returns the instance that a certificate was issued to: its first DNS name.
func instanceName(certificate *x509.Certificate) (string, error) {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return "", ErrNoName
	}
	return certificate.DNSNames[0], nil
}

// serverConfig requires a certificate of the site's authority from each router that connects.
func (c Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config, pool, err := c.loadConfig()
			if err != nil {
				return nil, err
			}
			config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, pool
			// A resumed session would keep a certificate beyond its rotation.
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// clientConfig checks that the other end shows a certificate that was issued to the given instance.
func (c Credentials) clientConfig(instance string) (*tls.Config, error) {
	config, pool, err := c.loadConfig()
	if err != nil {
		return nil, err
	}
	config.ServerName, config.RootCAs = instance, pool
	return config, nil
}

// loadConfig returns what both ends have in common, and the site's authority, as the files hold them now: a rotated
// certificate counts from the next connection on.
func (c Credentials) loadConfig() (*tls.Config, *x509.CertPool, error) {
	pair, err := c.loadCertificate()
	if err != nil {
		return nil, nil, err
	}
	pool, err := c.loadAuthority()
	if err != nil {
		return nil, nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, Certificates: []tls.Certificate{*pair}}
	return config, pool, nil
}
