package cmd

import "context"

func configDiffCommand() command {
	return command{name: "config diff", summary: "Compare a folder with the configuration in force.", run: runConfigDiff}
}

func runConfigDiff(ctx context.Context, env environment, args []string) error {
	set := newSettings("config diff [flags] <folder>", "Shows how a configuration folder differs from the version in force.",
		"  greengagetally config diff --operator-address 127.0.0.1:7104 --token-file ~/.token --tls-ca ca.pem ./intent\n")
	output := set.output()
	newClient := set.operatorFlags()
	dir := set.argument("folder", true, "The configuration folder.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	files, _, err := readFolder(*dir)
	if err != nil {
		return reportProblems(env, *output, err)
	}
	client, err := newClient()
	if err != nil {
		return err
	}
	version, filesInForce, err := client.folderAt(ctx, 0)
	if err != nil {
		return err
	}
	diffs := diffFolders(filesInForce, files)

	return writeResult(env, *output, map[string]any{"version": version, "files": diffs}, diffText(diffs))
}
