// Package cmd implements the command line, one file for each command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes of the commands.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// surroundings is what a command may use of its process.
type surroundings struct {
	stdout, stderr io.Writer
	getenv         func(string) string
}

// command is one command of the binary.
type command struct {
	// name has one or two words.
	name    string
	summary string
	// handlesSignals is true when the command reacts to SIGTERM itself; the
	// context of the others ends with the first signal.
	handlesSignals bool
	// run returns a usageError, an exitError or any other error for ExitFailed.
	run func(ctx context.Context, s surroundings, args []string) error
}

// commands lists the commands in the order of the help text.
func commands() []command {
	return []command{
		entryCommand(),
		configCheckCommand(),
		configDiffCommand(),
		configApplyCommand(),
		configShowCommand(),
		configHistoryCommand(),
		configRevertCommand(),
		statusCommand(),
		drainCommand(),
		lookupCommand(),
		explainCommand(),
		versionCommand(),
	}
}

// exitError ends the process with a code of its own.
type exitError struct {
	code int
	// message is empty when the command has already printed the cause.
	message string
}

func (e exitError) Error() string {
	return e.message
}

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	s := surroundings{stdout: stdout, stderr: stderr, getenv: os.Getenv}
	if len(args) > 0 && (args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
		_, _ = io.WriteString(stdout, overview())

		return ExitOK
	}
	c, rest, ok := find(args)
	if !ok {
		return report(s, "", usageError(unknownCommand(args)))
	}
	ctx := context.Background()
	if !c.handlesSignals {
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
	}

	return report(s, c.name, c.run(ctx, s, rest))
}

// find returns the command with the most words that args start with.
func find(args []string) (command, []string, bool) {
	for words := min(2, len(args)); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		for _, c := range commands() {
			if c.name == name {
				return c, args[words:], true
			}
		}
	}

	return command{}, nil, false
}

func unknownCommand(args []string) string {
	names := make([]string, 0, len(commands()))
	for _, c := range commands() {
		names = append(names, c.name)
	}
	if len(args) == 0 {
		return "a command is expected: " + strings.Join(names, ", ")
	}

	return fmt.Sprintf("%q: one of the commands %s is expected", strings.Join(args[:min(2, len(args))], " "), strings.Join(names, ", "))
}

func overview() string {
	var out strings.Builder
	out.WriteString("greengagetally steers traffic from callers to backend servers.\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(&out, "  %-16s %s\n", c.name, c.summary)
	}
	out.WriteString("\nEach command has a --help text with examples.\n")

	return out.String()
}

// report prints the error in one place and returns its exit code.
func report(s surroundings, name string, err error) int {
	if err == nil || errors.Is(err, errHelpShown) {
		return ExitOK
	}
	code := ExitFailed
	var (
		usage usageError
		exit  exitError
	)
	switch {
	case errors.As(err, &usage):
		code = ExitUsage
	case errors.As(err, &exit):
		code = exit.code
	}
	if message := err.Error(); message != "" {
		_, _ = fmt.Fprintln(s.stderr, strings.TrimSpace("greengagetally "+name)+": "+message)
	}

	return code
}
