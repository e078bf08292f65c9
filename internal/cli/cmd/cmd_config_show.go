package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

func configShowCommand() command {
	return command{name: "config show", summary: "Show the configuration at a version.", run: runConfigShow}
}

func runConfigShow(ctx context.Context, env environment, args []string) error {
	set := newSettings("config show [flags] [file]",
		"Shows the files of the version in force or of an earlier one, or writes them to\na new folder that config apply can be run on.",
		"  greengagetally config show 30-links.yaml\n  greengagetally config show --version 41 --to ./intent\n")
	output := set.output()
	newClient := set.operatorFlags()
	version := set.integer("version", 0, 0, 1<<53, "Version to show; 0 is the one in force.")
	targetFolder := set.text("to", "", false, "New folder to write the files to.")
	fileName := set.argument("file", false, "Only this file.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	shownVersion, files, err := client.folderAt(ctx, int64(*version))
	if err != nil {
		return err
	}
	type shownFile struct {
		Name    string `json:"name"`
		Content string `json:"content"`
	}
	shownFiles := []shownFile{}
	var text strings.Builder
	fmt.Fprintf(&text, "# version %d\n", shownVersion)
	for _, f := range files {
		if *fileName != "" && f.Name != *fileName {
			continue
		}
		shownFiles = append(shownFiles, shownFile{Name: f.Name, Content: string(f.Content)})
		fmt.Fprintf(&text, "# %s\n%s", f.Name, f.Content)
	}
	if *fileName != "" && len(shownFiles) == 0 {
		return fmt.Errorf("version %d has no file %s", shownVersion, *fileName)
	}
	if *targetFolder == "" {
		return writeResult(env, *output, map[string]any{"version": shownVersion, "files": shownFiles}, text.String())
	}
	if err := os.Mkdir(*targetFolder, 0o755); err != nil {
		return fmt.Errorf("write folder: %w", err)
	}
	for _, shown := range shownFiles {
		if err := os.WriteFile(filepath.Join(*targetFolder, filepath.Base(shown.Name)), []byte(shown.Content), 0o644); err != nil {
			return fmt.Errorf("write folder: %w", err)
		}
	}
	if err := writeBase(*targetFolder, shownVersion); err != nil {
		return err
	}

	return writeResult(env, *output, map[string]any{"version": shownVersion, "folder": *targetFolder}, fmt.Sprintf("version %d written to %s\n", shownVersion, *targetFolder))
}
