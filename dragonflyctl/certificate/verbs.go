// Package certificate implements the commands that create the certificates with which routers authenticate each other.
package certificate

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Commands holds the subcommands of "certificate".
type Commands struct {
	Authority Authority `cmd:"" help:"Creates the site's certificate authority, which issues the routers' certificates."`
	Issue     Issue     `cmd:"" help:"Issues the certificate of a router instance."`
}

// File names of the certificate authority within its directory.
const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority-key.pem"
)

// Modes of created files and directories: private keys must be readable by their owner only.
const (
	keyMode       = 0o600
	directoryMode = 0o700
)

// minimumLifetime is the lower bound of the flag --lifetime. A shorter lifetime, such as 30s, is taken for a mistyped unit.
const minimumLifetime = time.Minute

func checkLifetime(lifetime time.Duration) error {
	if lifetime < minimumLifetime {
		return exit.NewInvalidFlagError("lifetime", lifetime, "1m or longer, such as 8760h")
	}
	return nil
}

// writePair writes a certificate and its private key to new files and fails if a file exists: an authority's private key that
// was overwritten can't be recovered.
func writePair(pair peer.KeyPair, certificateFile, keyFile string) error {
	for _, file := range []string{certificateFile, keyFile} {
		if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
			return fmt.Errorf("creating the directory: %w", err)
		}
	}
	if err := createFile(keyFile, pair.Key); err != nil {
		return err
	}
	return createFile(certificateFile, pair.Certificate)
}

func createFile(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode) //nolint:gosec // the operator names the file
	if err != nil {
		return fmt.Errorf("creating the file: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return fmt.Errorf("writing the file: %w", err)
	}
	return f.Close()
}
