// Command greengagetally-platform runs the process of an entry VM on the users'
// platform.
package main

import (
	"os"

	"github.com/greengagetally/greengagetally/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout))
}
