package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// baseFile is the file in which a folder holds the version that the folder was made
// from. The commands config show --to and config apply write the file.
const baseFile = ".greengagetally-base"

func configApplyCommand() command {
	return command{name: "config apply", summary: "Bring a folder or one file into force.", run: runConfigApply}
}

func runConfigApply(ctx context.Context, env environment, args []string) error {
	set := newSettings("config apply [flags] <folder or file>",
		"Brings a folder, or one file of it, into force and waits until every entry VM\nuses it. Changes that others made to other files since the base version stay.",
		"  greengagetally config apply --message 'raise the cap' ./intent\n"+
			"  greengagetally config apply --message 'drain for repair' ./intent/90-leaving-booking-morbihan-2.yaml\n")
	output := set.output()
	newClient := set.operatorFlags()
	message := set.text("message", "", true, "Why the change is made; recorded in the audit trail.")
	baseFlag := set.integer("base-version", 0, 0, 1<<53, "Version that the folder was made from; 0 means the one in "+baseFile+", or the version in force without that file.")
	remove := set.boolean("remove-missing", "Remove the files that only the version in force has, when no base version is known.")
	wait := set.duration("wait", 15*time.Second, 0, 10*time.Minute, "Time to wait until the version is in force everywhere.")
	path := set.argument("folder or file", true, "The folder or file.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	info, err := os.Stat(*path)
	if err != nil {
		return fmt.Errorf("read change: %w", err)
	}
	knownBase := int64(*baseFlag)
	var files []folder.File
	if info.IsDir() {
		if files, _, err = readFolder(*path); err != nil {
			return reportProblems(env, *output, err)
		}
		if knownBase == 0 {
			knownBase = readBase(*path)
		}
	} else {
		content, err := os.ReadFile(*path)
		if err != nil {
			return fmt.Errorf("read change: %w", err)
		}
		files = []folder.File{{Name: filepath.Base(*path), Content: content}}
	}
	baseVersion, before, err := client.folderAt(ctx, knownBase)
	if err != nil {
		return err
	}
	diffs := diffFolders(before, files)
	if !info.IsDir() || knownBase == 0 && !*remove {
		diffs = slices.DeleteFunc(diffs, func(d fileDiff) bool { return d.Change == "removed" })
	}
	if len(diffs) == 0 {
		return writeResult(env, *output, applyResult{Version: baseVersion, Files: []string{}}, fmt.Sprintf("nothing differs from version %d\n", baseVersion))
	}
	accepted, err := applyDiffs(ctx, env, *output, client, baseVersion, *message, diffs, *wait)
	if info.IsDir() && knownBase > 0 && accepted == baseVersion+1 {
		return firstError(err, writeBase(*path, accepted))
	}

	return err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}

// readBase returns the version in the folder's base file, or 0 when the file is missing
// or holds no version.
func readBase(dir string) int64 {
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if err != nil {
		return 0
	}
	version, _ := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)

	return max(0, version)
}

// writeBase writes version, from which the folder was made, to the folder's base file.
func writeBase(dir string, version int64) error {
	if err := os.WriteFile(filepath.Join(dir, baseFile), fmt.Appendf(nil, "%d\n", version), 0o644); err != nil {
		return fmt.Errorf("write base version: %w", err)
	}

	return nil
}
