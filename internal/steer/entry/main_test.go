package entry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, the length and the number of the randomised runs unless the
// command line sets them. A run of 300 steps is long enough to learn latencies and to
// send hedges.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "300", "rapid.checks": "400"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
