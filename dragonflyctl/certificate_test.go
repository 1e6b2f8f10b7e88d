package main

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflyworks/dragonflyworks/dragonflyctl/exit"
	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

func TestCertificates(t *testing.T) {
	directory := t.TempDir()
	s := &testSite{t: t}
	steps := []struct {
		name      string
		arguments []string
		code      exit.Code
	}{
		{"no authority yet", []string{"certificate", "issue", "router-1", directory, "--authority", directory}, exit.Failed},
		{"authority", []string{"certificate", "authority", directory}, exit.OK},
		{"the authority is not overwritten", []string{"certificate", "authority", directory}, exit.Failed},
		{"issue", []string{"certificate", "issue", "router-1", directory, "--authority", directory}, exit.OK},
		{"short lifetime", []string{"certificate", "issue", "router-2", directory, "--authority", directory, "--lifetime", "1s"}, exit.Usage},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			if diff := cmp.Diff(step.code, s.run(step.arguments...).Code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s", diff)
			}
		})
	}
	name, err := peer.Credentials{
		CertificateFile: filepath.Join(directory, "router-1.pem"),
		KeyFile:         filepath.Join(directory, "router-1-key.pem"),
		AuthorityFile:   filepath.Join(directory, "authority.pem"),
	}.Validate()
	assert.Must(t, err)
	if diff := cmp.Diff("router-1", name); diff != "" {
		t.Errorf("name in the certificate (-want +got):\n%s", diff)
	}
}
