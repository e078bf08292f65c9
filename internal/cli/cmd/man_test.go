package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command without a manual page, and against a page that lacks a flag
// or names a flag that does not exist.
func TestManualPages(t *testing.T) {
	t.Parallel()
	flag := regexp.MustCompile(`(?m)^(?:  |\*\*)--([a-z-]+)[^\n]*GREENGAGETALLY`)
	for _, c := range commands() {
		var help bytes.Buffer
		err := c.run(t.Context(), environment{stdout: &help, stderr: &help, getenv: func(string) string { return "" }}, []string{"--help"})
		require.ErrorIs(t, err, errHelpShown)
		page, err := os.ReadFile(filepath.Join("../../../man", "greengagetally-"+strings.ReplaceAll(c.name, " ", "-")+".1.md"))
		require.NoError(t, err)
		require.NotEmpty(t, flagNames(flag, string(page)))
		require.ElementsMatch(t, flagNames(flag, help.String()), flagNames(flag, string(page)), c.name)
	}
}

func flagNames(flag *regexp.Regexp, text string) []string {
	var names []string
	for _, match := range flag.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}

	return names
}
