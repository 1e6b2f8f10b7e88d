// Package certificate holds the verbs for the certificates with which routers know each other.
package certificate

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Verbs is the table of the verbs for certificates.
type Verbs struct {
	Authority Authority `cmd:"" help:"Makes the site's authority, which issues the routers' certificates."`
	Issue     Issue     `cmd:"" help:"Issues the certificate of a router's instance."`
}

// Names of the authority's files within its directory.
const (
	authorityCertificate = "authority.pem"
	authorityKey         = "authority-key.pem"
)

// Modes of the files: keys are for their owner alone.
const (
	keyMode       = 0o600
	directoryMode = 0o700
)

// lifetimeMinimum keeps a mistyped unit from passing as a lifetime.
const lifetimeMinimum = time.Minute

func checkLifetime(lifetime time.Duration) error {
	if lifetime < lifetimeMinimum {
		return exit.NotAllowed("lifetime", lifetime, "1m or longer, such as 8760h")
	}
	return nil
}

// writePair writes a certificate and its key. It overwrites nothing: an authority's key that is lost can't be had again.
func writePair(pair peer.Pair, certificateFile, keyFile string) error {
	for _, file := range []string{certificateFile, keyFile} {
		if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
			return fmt.Errorf("making the directory: %w", err)
		}
	}
	if err := writeNew(keyFile, pair.Key); err != nil {
		return err
	}
	return writeNew(certificateFile, pair.Certificate)
}

func writeNew(file string, data []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyMode) //nolint:gosec // the operator names the file
	if err != nil {
		return fmt.Errorf("writing the file: %w", err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return fmt.Errorf("writing the file: %w", err)
	}
	return f.Close()
}
