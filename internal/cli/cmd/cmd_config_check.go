package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
)

func configCheckCommand() command {
	return command{name: "config check", summary: "Check a configuration folder.", run: runConfigCheck}
}

func runConfigCheck(_ context.Context, env environment, args []string) error {
	set := newSettings("config check [flags] <folder>",
		"Reads a configuration folder and reports its mistakes with their positions.\nNo entry VM is asked.",
		"  greengagetally config check examples/voix-darmor\n  greengagetally config check --output json ./intent\n")
	output := set.output()
	dir := set.argument("folder", true, "The configuration folder.")
	if err := set.parse(env, args); err != nil {
		return err
	}
	_, config, err := readFolder(*dir)
	if err != nil {
		return reportProblems(env, *output, err)
	}

	return writeResult(env, *output, checkResult(config), fmt.Sprintf(
		"%s is correct: %d regions, %d sites, %d links, %d services, %d backend servers, %d leaving, %d client blocks\n",
		*dir, len(config.Regions), len(config.Sites), len(config.Links), len(config.Services), len(config.Backends),
		config.Leaving.Len(), len(config.Blocks)))
}

// checkResult is the JSON result for a correct configuration: counts of its parts.
func checkResult(config model.Config) map[string]any {
	return map[string]any{
		"problems": []problemResult{}, "total-problems": 0, "regions": len(config.Regions), "sites": len(config.Sites),
		"links": len(config.Links), "services": len(config.Services), "backends": len(config.Backends),
		"leaving": config.Leaving.Len(), "blocks": len(config.Blocks),
	}
}

// readFolder reads and checks a configuration folder. A *folder.ProblemsError lists
// what is wrong with its files.
func readFolder(dir string) ([]folder.File, model.Config, error) {
	files, err := folder.Read(dir)
	if err != nil {
		return nil, model.Config{}, err
	}
	config, err := folder.Parse(files)

	return files, config, err
}

// problemResult is one mistake in the JSON result. Line and Column count from 1; both
// are 0 when the whole file is meant.
type problemResult struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// reportProblems prints the problems of a *folder.ProblemsError as the result of the
// command and returns an exitError; any other error is returned unchanged.
func reportProblems(env environment, format string, err error) error {
	var problems *folder.ProblemsError
	if !errors.As(err, &problems) {
		return err
	}
	list := make([]problemResult, 0, len(problems.List))
	for _, p := range problems.List {
		list = append(list, problemResult{File: p.File, Line: p.Line, Column: p.Column, Message: p.Message()})
	}
	result := map[string]any{"problems": list, "total-problems": problems.Total}
	if err := writeResult(env, format, result, problems.Error()+"\n"); err != nil {
		return err
	}

	return exitError{code: ExitFailed, message: fmt.Sprintf("%d problems found", problems.Total)}
}
