// Command greengagetally runs an entry VM, which steers traffic from callers to
// backend servers, and has the commands for its operators.
package main

import (
	"os"

	"github.com/greengagetally/greengagetally/internal/cli/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
