package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the randomised tests to 1 unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
