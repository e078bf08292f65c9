package cmd

import (
	"context"
	"fmt"
	"time"
)

func configRevertCommand() command {
	return command{name: "config revert", summary: "Make a new version with the content of an earlier one.", run: runConfigRevert}
}

func runConfigRevert(ctx context.Context, env environment, args []string) error {
	set := newSettings("config revert [flags]", "Makes a new, higher version with the content of an earlier version.",
		"  greengagetally config revert --to-version 41\n")
	output := set.output()
	newClient := set.operatorFlags()
	toVersion := set.integer("to-version", 0, 0, 1<<53, "Version whose content is brought back; 0 is the one before the version in force.")
	message := set.text("message", "", false, "Why the change is made; names the version when empty.")
	wait := set.duration("wait", 15*time.Second, 0, 10*time.Minute, "Time to wait until the version is in force everywhere.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	versionInForce, filesInForce, err := client.folderAt(ctx, 0)
	if err != nil {
		return err
	}
	targetVersion := int64(*toVersion)
	if targetVersion == 0 {
		targetVersion = versionInForce - 1
	}
	if targetVersion < 1 {
		return fmt.Errorf("there is no version before version %d", versionInForce)
	}
	_, targetFiles, err := client.folderAt(ctx, targetVersion)
	if err != nil {
		return err
	}
	diffs := diffFolders(filesInForce, targetFiles)
	if len(diffs) == 0 {
		return writeResult(env, *output, applyResult{Version: versionInForce, Files: []string{}}, fmt.Sprintf("nothing to revert: version %d already has the content of version %d\n", versionInForce, targetVersion))
	}
	if *message == "" {
		*message = fmt.Sprintf("revert to version %d", targetVersion)
	}
	_, err = applyDiffs(ctx, env, *output, client, versionInForce, *message, diffs, *wait)

	return err
}
