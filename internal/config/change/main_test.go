package change_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomised tests unless the command line sets
// one, so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
