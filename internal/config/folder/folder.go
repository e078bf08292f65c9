// Package folder parses the operators' folder of configuration files into a
// model.Config and reports mistakes, for `greengagetally entry` and `greengagetally
// config`.
//
// The files are merged in the order of their names; later files override earlier
// ones. Every mistake is reported with its position, and a folder with a mistake
// yields no configuration at all.
package folder

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// Limits of a folder.
const (
	// MaxFileBytes is the largest size of a value in the store, 1 MB.
	MaxFileBytes = 1_000_000
	// MaxFiles bounds the size of the stored list of files (Root in package change), in
	// which each file takes up to 210 bytes.
	MaxFiles = 2048
	// MaxFolderBytes is almost twice the size of 740,000 client blocks of about 35
	// bytes each.
	MaxFolderBytes = 48_000_000
)

// ErrEmpty reports a folder without *.yaml and *.blocks files.
var ErrEmpty = errors.New("the folder holds no *.yaml or *.blocks file")

var fileNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,92}\.(yaml|blocks)$`)

const expectedFileName = "a file name of lower-case letters, digits, dots and hyphens that ends in .yaml or .blocks, at most 100 bytes"

// File is one configuration file of the folder.
type File struct {
	Name    string
	Content []byte
}

// Read returns the configuration files of a directory sorted by name. It skips
// hidden files and Markdown files. Any other file is a problem, so that a misspelt
// extension is noticed. The error is a *ProblemsError, or wraps ErrEmpty or the
// error of the file system.
func Read(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var (
		files    []File
		problems ProblemsError
	)
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".md") {
			continue
		}
		if entry.IsDir() || !fileNamePattern.MatchString(name) {
			problems.add(Problem{File: name, Value: name, Expected: expectedFileName})

			continue
		}
		content, err := readFile(filepath.Join(dir, name))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files = append(files, File{Name: name, Content: content})
	}
	if err := problems.err(); err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: %w", dir, ErrEmpty)
	}

	return files, nil
}

// readFile reads at most MaxFileBytes+1 bytes. The additional byte lets Parse detect a
// file that is too large.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}

	return content, err
}

// Parse merges and checks the files, and returns their configuration with version 0.
// The error is ErrEmpty or a *ProblemsError; with an error the configuration is
// empty.
func Parse(files []File) (model.Config, error) {
	if len(files) == 0 {
		return model.Config{}, ErrEmpty
	}
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	problems := &ProblemsError{}
	var (
		merged = &node{kind: mapping}
		blocks []File
	)
	for _, file := range checkFiles(files, problems) {
		if strings.HasSuffix(file.Name, ".blocks") {
			blocks = append(blocks, file)

			continue
		}
		if n := parseYAML(file, problems); n != nil {
			merged = merge(merged, n)
		}
	}
	d := newDecoder(problems)
	config := d.config(merged)
	config.Blocks = d.blocks(blocks, config)
	if err := problems.err(); err != nil {
		return model.Config{}, err
	}

	return config, nil
}

// ErrUnknownBlockTarget reports client blocks of an earlier configuration whose site
// or region does not exist any more.
var ErrUnknownBlockTarget = errors.New("client blocks of the earlier configuration name a site or region that does not exist")

// ParseWithBlocks is like Parse, but takes the client blocks from an earlier
// configuration instead of parsing them again. The *.blocks files must be the same as
// in the earlier configuration, and files must hold only the YAML files. If a block
// names an unknown site or region, the error is ErrUnknownBlockTarget; Parse with all
// files then reports the positions of the mistakes.
func ParseWithBlocks(files []File, blocks []model.Block) (model.Config, error) {
	config, err := Parse(files)
	if err != nil {
		return model.Config{}, err
	}
	targets := blockTargets(config)
	for _, b := range blocks {
		if _, ok := targets[b.Target]; !ok {
			return model.Config{}, ErrUnknownBlockTarget
		}
	}
	config.Blocks = blocks

	return config, nil
}

// checkFiles returns the files whose names and sizes are accepted, or none if there
// are too many or their total size is too large. files must be sorted by name.
func checkFiles(files []File, problems *ProblemsError) []File {
	if len(files) > MaxFiles {
		problems.add(Problem{
			File: files[MaxFiles].Name, Value: fmt.Sprintf("%d files", len(files)),
			Expected: fmt.Sprintf("at most %d files", MaxFiles),
		})

		return nil
	}
	accepted, totalBytes := make([]File, 0, len(files)), 0
	for i, file := range files {
		totalBytes += len(file.Content)
		switch {
		case !fileNamePattern.MatchString(file.Name):
			problems.add(Problem{File: file.Name, Value: file.Name, Expected: expectedFileName})
		case i > 0 && files[i-1].Name == file.Name:
			problems.add(Problem{File: file.Name, Value: file.Name, Expected: "each file once"})
		case len(file.Content) > MaxFileBytes:
			problems.add(Problem{
				File: file.Name, Value: "more than 1 MB",
				Expected: fmt.Sprintf("a file of at most %d bytes", MaxFileBytes),
			})
		case totalBytes > MaxFolderBytes:
			problems.add(Problem{
				File: file.Name, Value: fmt.Sprintf("%d bytes so far", totalBytes),
				Expected: fmt.Sprintf("a folder of at most %d bytes", MaxFolderBytes),
			})

			return nil
		default:
			accepted = append(accepted, file)
		}
	}

	return accepted
}
