package allowance

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests and disables failure files; flags on the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
