package example

import (
	"fmt"
	"os"
	"path/filepath"
)

// Programs returns the names of the project's programs.
func Programs() []string { return []string{"router", "dragonflyctl", "standin"} }

// CopyExamples copies the example change tickets of the source tree at root into a folder, and replaces the ports in them with
// free ones. The returned ports also cover the local addresses in further texts.
func CopyExamples(root, folder string, texts ...string) (*Ports, error) {
	paths, err := filepath.Glob(filepath.Join(root, "examples", "*", "*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("list examples: %w", err)
	}
	tickets := make([]string, len(paths))
	for i, path := range paths {
		ticket, err := os.ReadFile(path) //nolint:gosec // a file of the examples
		if err != nil {
			return nil, fmt.Errorf("read example: %w", err)
		}
		tickets[i] = string(ticket)
	}
	ports, err := NewPorts(append(texts, tickets...)...)
	if err != nil {
		return nil, fmt.Errorf("find free ports: %w", err)
	}
	for i, path := range paths {
		copied := filepath.Join(folder, "examples", filepath.Base(filepath.Dir(path)), filepath.Base(path))
		if err := os.MkdirAll(filepath.Dir(copied), 0o700); err != nil {
			return nil, fmt.Errorf("copy example: %w", err)
		}
		if err := os.WriteFile(copied, []byte(ports.ToFree(tickets[i])), 0o600); err != nil {
			return nil, fmt.Errorf("copy example: %w", err)
		}
	}
	return ports, nil
}
