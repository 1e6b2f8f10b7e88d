package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// alpnProtocol is the TLS application protocol (ALPN) of connections between routers.
const alpnProtocol = "dragonfly-peer/1"

// ErrNoName means that a router's certificate has no DNS name, which would be the router's instance.
var ErrNoName = errors.New("certificate names no instance")

// Identity authenticates a router to other routers and verifies theirs. Credentials does so with certificates of the site's
// authority, PinnedIdentity with self-signed certificates that are listed in a Roster.
type Identity interface {
	// validate returns this router's instance, or an error if the identity is unusable. It is called before the router
	// listens.
	validate() (string, error)
	// serverConfig returns the TLS configuration for accepting connections.
	serverConfig() *tls.Config
	// clientConfig returns the TLS configuration for connecting to the router on an instance.
	clientConfig(instance string) (*tls.Config, error)
}

// Credentials is an Identity from PEM files: the certificate of this instance, its key and the certificate of the site's
// authority. The files are read at each handshake, so that certificates can be rotated without a restart.
type Credentials struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

func (c Credentials) validate() (string, error) { return c.Validate() }

// Validate reads the files and returns the instance that the certificate was issued to. Routers call it when they start,
// so that a missing or invalid file is reported before the first handshake.
func (c Credentials) Validate() (string, error) {
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
		return nil, fmt.Errorf("reading the authority's certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("reading the authority's certificate: %s holds no certificate in PEM", c.AuthorityFile)
	}
	return pool, nil
}

// instanceName returns the instance that a certificate was issued to, which is its first DNS name.
func instanceName(certificate *x509.Certificate) (string, error) {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return "", ErrNoName
	}
	return certificate.DNSNames[0], nil
}

// serverConfig implements Identity. It requires a client certificate that the site's authority has issued.
func (c Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config, pool, err := c.loadConfig()
			if err != nil {
				return nil, err
			}
			config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, pool
			// A resumed TLS session would keep using the certificates of its first handshake after a rotation.
			config.SessionTicketsDisabled = true
			return config, nil
		},
	}
}

// clientConfig implements Identity. It requires a server certificate that the site's authority has issued to the instance.
func (c Credentials) clientConfig(instance string) (*tls.Config, error) {
	config, pool, err := c.loadConfig()
	if err != nil {
		return nil, err
	}
	config.ServerName, config.RootCAs = instance, pool
	return config, nil
}

// loadConfig reads the files and returns the TLS settings that servers and clients share, and a pool with the authority's
// certificate. It runs once per connection, so that a rotated certificate takes effect with the next connection.
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
