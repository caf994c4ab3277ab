// Package proptest has property tests draw the same cases on every run, so that
// the same source gets the same verdict.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// Run runs a package's tests with a fixed seed, unless the command line names
// one.
func Run(tests *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if known := flag.Lookup(name); known != nil && known.Value.String() == known.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(tests.Run())
}
