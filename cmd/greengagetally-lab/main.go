// Command greengagetally-lab runs stand-ins for the platform and the backend servers,
// the load generator and the experiments. It is never shipped.
package main

import (
	"os"

	"github.com/greengagetally/greengagetally/internal/lab/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
