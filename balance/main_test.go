package balance

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run checks the same cases; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
