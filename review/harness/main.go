// The harness of the script cases: it starts the project's program as separate processes,
// with stand-ins for the store, the upstreams and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

var cases = map[string]func(*env) (int, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		runUpstream(os.Args[2:])

		return
	}
	name := flag.String("case", "", "the case to run")
	root := flag.String("root", ".", "the repository's root")
	dir := flag.String("dir", ".", "the case's folder")
	flag.Parse()
	os.Exit(run(*name, *root, *dir))
}

func run(name, root, dir string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no case", name)

		return exitCannot
	}
	e, err := newEnv(root, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)

		return exitCannot
	}
	defer e.end()
	code, err := play(e)
	if err != nil {
		e.say("cannot run: %v", err)

		return exitCannot
	}
	e.say("%s", map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitCannot: "the case could not run"}[code])

	return code
}
