package cmd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against flags and environment variables that are read in different ways. Also
// guards against wrong values that are accepted, or reported in anything but one clear
// line.
func TestSettings(t *testing.T) {
	t.Parallel()
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		env := make(map[string]string)
		var args []string
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSuffix(line, "\n")
			if name, value, ok := strings.Cut(line, "="); ok && strings.HasPrefix(name, "GREENGAGETALLY_") {
				env[name] = value

				continue
			}
			args = append(args, line)
		}
		set := newSettings("try [flags] <place>", "Tries the settings.", "  greengagetally try here\n")
		name := set.text("name", "", true, "Name of the thing.")
		output := set.output()
		force := set.boolean("force", "Do it anyway.")
		wait := set.duration("wait", time.Second, 0, time.Minute, "Time to wait.")
		tries := set.integer("tries", 3, 1, 9, "Number of tries.")
		listen := set.address("listen-address", "127.0.0.1:7100", false, "Address to listen on.")
		key := set.file("key-file", false, "File of the key.")
		place := set.argument("place", true, "The place.")
		var out bytes.Buffer
		err := set.parse(environment{stdout: &out, getenv: func(name string) string { return env[name] }}, args)
		if err != nil {
			return out.String() + "error: " + err.Error()
		}

		return fmt.Sprint(*name, " ", *output, " ", *force, " ", *wait, " ", *tries, " ", *listen, " ", *key, " ", *place)
	})
}
