package cmd

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// usageError reports a wrong command, flag, environment variable or argument.
type usageError string

// Error implements error.
func (e usageError) Error() string {
	return string(e)
}

// errHelpShown ends a command whose help text was printed; it is no failure.
var errHelpShown = errors.New("help shown")

// notOnCommandLine is the value of a flag that is not on the command line; no
// argument can contain a zero byte.
const notOnCommandLine = "\x00"

// settings holds the flags, environment variables and arguments of one command.
// The environment variable of --some-flag is GREENGAGETALLY_SOME_FLAG; the flag takes
// precedence.
type settings struct {
	parser      *flaggy.Parser
	usage       string
	description string
	examples    string
	flags       []*flagSpec
	arguments   []*argument
	help        bool
}

// flagSpec is one flag. store sets the flag's value and returns ""; for a wrong value,
// it returns a description of the expected values instead.
type flagSpec struct {
	name, description, defaultValue string
	required, boolean               bool
	commandLineValue                string
	store                           func(value string) (expected string)
}

// argument is one positional argument.
type argument struct {
	name     string
	value    string
	required bool
}

// newSettings returns settings whose only flag is --help. usage is the command's name
// with its flags and arguments; examples are indented lines.
func newSettings(usage, description, examples string) *settings {
	parser := flaggy.NewParser(usage)
	// This package prints errors and help itself, so that each wrong value leads to
	// one line and ExitUsage.
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	s := &settings{parser: parser, usage: usage, description: description, examples: examples}
	parser.Bool(&s.help, "h", "help", "Show this text.")

	return s
}

// add adds a flag that takes a value.
func (s *settings) add(f *flagSpec) {
	f.commandLineValue = notOnCommandLine
	s.flags = append(s.flags, f)
	s.parser.String(&f.commandLineValue, "", f.name, f.description)
}

// text adds a flag for any text; if required is true, the text must not be empty.
func (s *settings) text(name, defaultValue string, required bool, description string) *string {
	value := new(string)
	s.add(&flagSpec{name: name, description: description, defaultValue: defaultValue, required: required, store: func(v string) string {
		*value = v

		return ""
	}})

	return value
}

// choice adds a flag that takes one of the allowed values.
func (s *settings) choice(name, defaultValue string, allowed []string, description string) *string {
	value := new(string)
	s.add(&flagSpec{name: name, description: description, defaultValue: defaultValue, store: func(v string) string {
		if !slices.Contains(allowed, v) {
			return "one of " + strings.Join(allowed, ", ")
		}
		*value = v

		return ""
	}})

	return value
}

// boolean adds a flag that is true when it is given without a value; --flag=VALUE and
// its environment variable take true or false.
func (s *settings) boolean(name, description string) *bool {
	value := new(bool)
	f := &flagSpec{name: name, description: description, defaultValue: "false", boolean: true, store: func(v string) string {
		if v != "true" && v != "false" {
			return "true or false"
		}
		*value = v == "true"

		return ""
	}}
	f.commandLineValue = notOnCommandLine
	s.flags = append(s.flags, f)
	// checkFlags reads the value, because the parser cannot tell false from absent.
	s.parser.Bool(new(bool), "", name, description)

	return value
}

// duration adds a flag for a duration from low to high, both included.
func (s *settings) duration(name string, defaultValue, low, high time.Duration, description string) *time.Duration {
	value := new(time.Duration)
	s.add(&flagSpec{name: name, description: description, defaultValue: defaultValue.String(), store: func(v string) string {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return fmt.Sprintf("a duration from %s to %s", low, high)
		}
		*value = d

		return ""
	}})

	return value
}

// integer adds a flag for a whole number from low to high, both included.
func (s *settings) integer(name string, defaultValue, low, high int, description string) *int {
	value := new(int)
	s.add(&flagSpec{name: name, description: description, defaultValue: strconv.Itoa(defaultValue), store: func(v string) string {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return fmt.Sprintf("a whole number from %d to %d", low, high)
		}
		*value = n

		return ""
	}})

	return value
}

// address adds a flag for a numeric IP address and port; an empty value gives the zero
// AddrPort, which is not valid.
func (s *settings) address(name, defaultValue string, required bool, description string) *netip.AddrPort {
	value := new(netip.AddrPort)
	s.add(&flagSpec{name: name, description: description, defaultValue: defaultValue, required: required, store: func(v string) string {
		if v == "" {
			return ""
		}
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return "a numeric address and port such as 127.0.0.1:7100"
		}
		*value = a

		return ""
	}})

	return value
}

// file adds a flag for the path of an existing file that is not a directory.
func (s *settings) file(name string, required bool, description string) *string {
	value := new(string)
	s.add(&flagSpec{name: name, description: description, required: required, store: func(v string) string {
		if v == "" {
			return ""
		}
		if info, err := os.Stat(v); err != nil || info.IsDir() {
			return "the path of an existing file"
		}
		*value = v

		return ""
	}})

	return value
}

// argument adds the next positional argument.
func (s *settings) argument(name string, required bool, description string) *string {
	a := &argument{name: name, required: required}
	s.arguments = append(s.arguments, a)
	s.parser.AddPositionalValue(&a.value, name, len(s.arguments), false, description)

	return &a.value
}

// parse reads the command line and the environment variables. The error is a
// usageError, errHelpShown after the help text was printed, or the error of printing it.
func (s *settings) parse(env environment, args []string) error {
	if err := s.checkFlags(args); err != nil {
		return err
	}
	if err := s.parser.ParseArgs(args); err != nil {
		return usageError(err.Error())
	}
	if s.help {
		_, err := fmt.Fprint(env.stdout, s.helpText())
		if err != nil {
			return fmt.Errorf("write help: %w", err)
		}

		return errHelpShown
	}
	for _, f := range s.flags {
		if err := f.resolve(env.getenv); err != nil {
			return err
		}
	}
	if len(s.parser.TrailingArguments) > 0 {
		return usageError(fmt.Sprintf("%q: unexpected argument", s.parser.TrailingArguments[0]))
	}
	for _, a := range s.arguments {
		if a.required && a.value == "" {
			return usageError(fmt.Sprintf("the argument <%s> is missing", a.name))
		}
	}

	return nil
}

// checkFlags sets the boolean flags. It also reports unknown flags and flags without a
// value, which the parser would ignore or answer with its help text.
func (s *settings) checkFlags(args []string) error {
	for i := 0; i < len(args); i++ {
		if args[i] == "--" {
			return nil
		}
		if !strings.HasPrefix(args[i], "-") || args[i] == "-" {
			continue
		}
		name, value, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		if name == "help" || name == "h" {
			continue
		}
		index := slices.IndexFunc(s.flags, func(f *flagSpec) bool { return f.name == name })
		switch {
		case index < 0:
			return usageError(fmt.Sprintf("--%s: unknown flag; allowed are %s", name, s.flagNames()))
		case s.flags[index].boolean:
			if !hasValue {
				value = "true"
			}
			s.flags[index].commandLineValue = value
			if expected := s.flags[index].store(value); expected != "" {
				return usageError(fmt.Sprintf("--%s %q: %s is expected", name, value, expected))
			}
		case hasValue:
		case i+1 == len(args):
			return usageError(fmt.Sprintf("--%s: a value is expected", name))
		default:
			i++
		}
	}

	return nil
}

func (s *settings) flagNames() string {
	names := []string{"--help"}
	for _, f := range s.flags {
		names = append(names, "--"+f.name)
	}

	return strings.Join(names, ", ")
}

// envVariable returns the name of the environment variable of a flag.
func envVariable(flag string) string {
	return "GREENGAGETALLY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// resolve stores the flag's value from the command line, else from the environment
// variable, else the default. The error is a usageError.
func (f *flagSpec) resolve(getenv func(string) string) error {
	value, source := f.defaultValue, "--"+f.name
	if env := getenv(envVariable(f.name)); env != "" {
		value, source = env, fmt.Sprintf("%s (--%s)", envVariable(f.name), f.name)
	}
	if f.commandLineValue != notOnCommandLine {
		value, source = f.commandLineValue, "--"+f.name
	}
	if f.required && value == "" {
		return usageError(fmt.Sprintf("--%s or %s is required: %s", f.name, envVariable(f.name), f.description))
	}
	if expected := f.store(value); expected != "" {
		return usageError(fmt.Sprintf("%s %q: %s is expected", source, value, expected))
	}

	return nil
}

// helpText describes the usage, the flags and some examples.
func (s *settings) helpText() string {
	var out strings.Builder
	fmt.Fprintf(&out, "Usage: greengagetally %s\n\n%s\n", s.usage, s.description)
	if len(s.flags) > 0 {
		out.WriteString("\nFlags, each with its environment variable; the flag takes precedence:\n")
	}
	for _, f := range s.flags {
		fmt.Fprintf(&out, "  --%s, %s\n      %s", f.name, envVariable(f.name), f.description)
		switch {
		case f.required:
			out.WriteString(" Required.")
		case f.defaultValue != "" && !f.boolean:
			fmt.Fprintf(&out, " Default %s.", f.defaultValue)
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\nExamples:\n%s", s.examples)

	return out.String()
}
