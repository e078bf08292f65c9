// Package soak sets the seed and the number of runs of randomised tests, for packages of
// `greengagetally entry`. Only tests import it.
package soak

import (
	"flag"
	"fmt"
	"os"
)

// exitUsage is the exit code for a setting that is not a number.
const exitUsage = 2

// Main runs the tests of a package, in which rapid uses seed 1 and the given number of
// random runs per test. GREENGAGETALLY_SOAK_SEED and GREENGAGETALLY_SOAK_CHECKS replace
// these values; the flags -rapid.seed and -rapid.checks do not. Main returns the exit
// code of the test process, which is 2 for a value that is not a number.
func Main(m interface{ Run() int }, checks string) int {
	flag.Parse()
	for name, setting := range map[string][2]string{
		"rapid.seed":   {"GREENGAGETALLY_SOAK_SEED", "1"},
		"rapid.checks": {"GREENGAGETALLY_SOAK_CHECKS", checks},
	} {
		value := os.Getenv(setting[0])
		if value == "" {
			value = setting[1]
		}
		if err := flag.Set(name, value); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)

			return exitUsage
		}
	}

	return m.Run()
}
