// Package proptest makes property tests deterministic: a package that runs its
// tests through it draws the same cases on every run.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// defaults are the flags of the property test library that Run sets.
var defaults = map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"}

// Run runs the tests of a package with a fixed seed, unless the command line
// sets one, and exits. It is called by TestMain.
func Run(m *testing.M) {
	flag.Parse()
	for name, value := range defaults {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
