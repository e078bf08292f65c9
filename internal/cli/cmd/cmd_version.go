package cmd

import (
	"context"
	"fmt"
	"runtime/debug"
)

// version is set by the linker in releases; when empty, the version in the build
// information is printed.
var version = ""

func versionCommand() command {
	return command{name: "version", summary: "Print the version of the binary.", run: runVersion}
}

func runVersion(_ context.Context, env environment, args []string) error {
	set := newSettings("version [flags]", "Prints the version of the binary.", "  greengagetally version --output json\n")
	output := set.output()
	if err := set.parse(env, args); err != nil {
		return err
	}
	v := version
	if info, ok := debug.ReadBuildInfo(); ok && v == "" {
		v = info.Main.Version
	}

	return writeResult(env, *output, map[string]string{"version": v}, fmt.Sprintf("greengagetally %s\n", v))
}
