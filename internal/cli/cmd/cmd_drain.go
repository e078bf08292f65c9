package cmd

import (
	"context"
	"fmt"
	"regexp"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

// drainNamePattern matches the names of backend servers and VMs; the name becomes part
// of a file name and of its YAML content.
var drainNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func drainCommand() command {
	return command{name: "drain", summary: "Take a backend server or an entry VM out of service.", run: runDrain}
}

func runDrain(ctx context.Context, env environment, args []string) error {
	set := newSettings("drain [flags] [name]",
		"Marks a backend server or VM as leaving in the configuration, so that it gets no\nnew work after 3 s, or starts the graceful shutdown of an entry VM.",
		"  greengagetally drain booking-morbihan-2\n  greengagetally drain --undo booking-morbihan-2\n"+
			"  greengagetally drain --entry --operator-address 127.0.0.1:7104\n")
	output := set.output()
	newClient := set.operatorFlags()
	entry := set.boolean("entry", "Shut down the entry VM at the operator address.")
	undo := set.boolean("undo", "Remove the mark.")
	reason := set.text("message", "drain", false, "Why the change is made; recorded in the audit trail with the name.")
	wait := set.duration("wait", 15*time.Second, 0, 10*time.Minute, "Time to wait until the mark is in force everywhere.")
	name := set.argument("name", false, "Name of the backend server or VM.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	if *entry == (*name != "") {
		return usageError("either a name or --entry is expected")
	}
	if !*entry && !drainNamePattern.MatchString(*name) {
		return usageError(fmt.Sprintf("%q: a name of lower-case letters, digits and hyphens is expected", *name))
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	if *entry {
		return drainEntry(ctx, env, *output, client)
	}
	version, files, err := client.folderAt(ctx, 0)
	if err != nil {
		return err
	}
	leavingFile := fileDiff{Name: "90-leaving-" + *name + ".yaml", Change: "added", after: fmt.Appendf(nil, "leaving:\n  %s: true\n", *name)}
	message := *reason + " " + *name
	oldContent, marked := contentByName(files)[leavingFile.Name]
	if *undo {
		leavingFile.Change, message = "removed", "undo "+message
	}
	if *undo && !marked || !*undo && string(oldContent) == string(leavingFile.after) {
		return writeResult(env, *output, applyResult{Version: version, Files: []string{}}, fmt.Sprintf("nothing differs from version %d\n", version))
	}
	_, err = applyDiffs(ctx, env, *output, client, version, message, []fileDiff{leavingFile}, *wait)

	return err
}

// drainEntry starts the graceful shutdown of an entry VM. Only one address is allowed:
// with several, call would shut down the next entry VM when the first does not answer.
func drainEntry(ctx context.Context, env environment, format string, o *operatorClient) error {
	if len(o.addresses) != 1 {
		return usageError(fmt.Sprintf("--entry: one address in --operator-address is expected, not %q", o.addresses))
	}
	_, err := call(ctx, o, func(ctx context.Context, c *operatorapi.Client) (struct{}, error) {
		return struct{}{}, c.Drain(ctx)
	})
	if err != nil {
		return err
	}

	return writeResult(env, format, map[string]string{"draining": o.addresses[0]}, "the entry VM at "+o.addresses[0]+" shuts down\n")
}
