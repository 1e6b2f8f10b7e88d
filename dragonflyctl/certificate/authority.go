package certificate

import (
	"path/filepath"
	"time"

	"go.uber.org/dig"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/output"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// Authority implements the command "certificate authority".
type Authority struct {
	Directory string        `arg:"" help:"Directory in which to create authority.pem and authority-key.pem."`
	Name      string        `help:"Name of the certificate authority." default:"dragonflyworks"`
	Lifetime  time.Duration `help:"Validity period of the authority's certificate." default:"87600h"`
}

// Help returns the detailed help text of the command.
func (*Authority) Help() string {
	return "Do not copy authority-key.pem to the routers: they need only authority.pem."
}

// Run creates the certificate authority's certificate and private key and prints the file names.
func (a *Authority) Run(container *dig.Container) error {
	return container.Invoke(func(p output.Printer) error {
		if err := checkLifetime(a.Lifetime); err != nil {
			return err
		}
		pair, err := peer.NewAuthority(a.Name, a.Lifetime)
		if err != nil {
			return err
		}
		certificate := filepath.Join(a.Directory, authorityCertificate)
		key := filepath.Join(a.Directory, authorityKey)
		if err := writePair(pair, certificate, key); err != nil {
			return err
		}
		return printFileNames(p, certificate, key)
	})
}

// printFileNames prints the names of a written certificate file and its key file.
func printFileNames(p output.Printer, certificate, key string) error {
	return p.Print(
		struct{ Certificate, Key string }{certificate, key},
		output.Table{Columns: []string{"CERTIFICATE", "KEY"}, Rows: [][]string{output.Cells(certificate, key)}},
	)
}
