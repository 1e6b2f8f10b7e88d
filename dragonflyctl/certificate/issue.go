package certificate

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Issue implements the command "certificate issue".
type Issue struct {
	Instance  string        `arg:"" help:"Name of the instance, as in the router's --instance."`
	Directory string        `arg:"" help:"Directory in which to create INSTANCE.pem and INSTANCE-key.pem."`
	Authority string        `help:"Directory that contains authority.pem and authority-key.pem." default:"."`
	Lifetime  time.Duration `help:"Validity period of the certificate." default:"2160h"`
}

// Run issues the certificate of a router's instance, writes it with its private key and prints the file names.
func (i *Issue) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		if err := checkLifetime(i.Lifetime); err != nil {
			return err
		}
		authority, err := readAuthority(i.Authority)
		if err != nil {
			return err
		}
		pair, err := authority.Issue(i.Instance, i.Lifetime)
		if err != nil {
			return err
		}
		certificate := filepath.Join(i.Directory, i.Instance+".pem")
		key := filepath.Join(i.Directory, i.Instance+"-key.pem")
		if err := writePair(pair, certificate, key); err != nil {
			return err
		}
		return printFileNames(p, certificate, key)
	})
}

func readAuthority(directory string) (peer.KeyPair, error) {
	certificate, err := os.ReadFile(filepath.Join(directory, authorityCertificate)) //nolint:gosec // the operator names the file
	if err != nil {
		return peer.KeyPair{}, fmt.Errorf("reading the authority's certificate: %w", err)
	}
	key, err := os.ReadFile(filepath.Join(directory, authorityKey)) //nolint:gosec // the operator names the file
	if err != nil {
		return peer.KeyPair{}, fmt.Errorf("reading the authority's private key: %w", err)
	}
	return peer.KeyPair{Certificate: certificate, Key: key}, nil
}
