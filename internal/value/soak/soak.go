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

// Main runs the tests of a package. By default rapid uses seed 1 and runs each test as
// many times as the parameter checks says. The environment variables
// GREENGAGETALLY_SOAK_SEED and GREENGAGETALLY_SOAK_CHECKS replace these values; the
// flags -rapid.seed and -rapid.checks have no effect. Main returns the exit code of the
// test process, or 2 if a value is not a number.
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
