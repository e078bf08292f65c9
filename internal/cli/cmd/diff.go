package cmd

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/greengagetally/greengagetally/internal/config/folder"
)

// fileDiff is a file that differs between two versions of the configuration folder.
type fileDiff struct {
	Name string `json:"name"`
	// Change is added, changed or removed.
	Change string `json:"change"`
	Diff   string `json:"diff"`
	// after is the new content, nil for a removed file.
	after []byte
}

// diffFolders returns the files that differ, sorted by name.
func diffFolders(before, after []folder.File) []fileDiff {
	diffs := []fileDiff{}
	oldContents := contentByName(before)
	for _, f := range after {
		oldContent, ok := oldContents[f.Name]
		delete(oldContents, f.Name)
		switch {
		case !ok:
			diffs = append(diffs, fileDiff{Name: f.Name, Change: "added", after: f.Content})
		case !bytes.Equal(oldContent, f.Content):
			diffs = append(diffs, fileDiff{Name: f.Name, Change: "changed", after: f.Content})
		}
	}
	for name := range oldContents {
		diffs = append(diffs, fileDiff{Name: name, Change: "removed"})
	}
	oldContents = contentByName(before)
	for i, d := range diffs {
		diffs[i].Diff = string(diff.Diff("in force/"+d.Name, oldContents[d.Name], "folder/"+d.Name, d.after))
	}
	slices.SortFunc(diffs, func(a, b fileDiff) int { return strings.Compare(a.Name, b.Name) })

	return diffs
}

func contentByName(files []folder.File) map[string][]byte {
	out := make(map[string][]byte, len(files))
	for _, f := range files {
		out[f.Name] = f.Content
	}

	return out
}

func diffText(diffs []fileDiff) string {
	var out strings.Builder
	for _, d := range diffs {
		fmt.Fprintf(&out, "%s %s\n%s", d.Change, d.Name, d.Diff)
	}

	return out.String()
}
