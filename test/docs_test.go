package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against pages that name tests which no longer exist. A name may end in "..." and
// then stands for all names that begin so.
func TestDocsNameExistingTests(t *testing.T) {
	t.Parallel()
	var declared strings.Builder
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	for _, root := range []string{"../internal", "../platform", "."} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, match := range declaration.FindAllStringSubmatch(string(source), -1) {
				declared.WriteString(match[1] + "\n")
			}

			return err
		}))
	}
	mention := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)(\\.\\.\\.)?[`: ]")
	pages, err := filepath.Glob("../docs/*.md")
	require.NoError(t, err)
	found := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range mention.FindAllStringSubmatch(string(text), -1) {
			found++
			end := "\n"
			if match[2] != "" {
				end = ""
			}
			require.Contains(t, declared.String(), match[1]+end, "%s names a test that does not exist", page)
		}
	}
	require.Greater(t, found, 30)
}
