// Package folder reads the operators' folder of small files into a model.Config.
//
// The files are merged in the order of their names. Every mistake is reported
// with its position; a folder with a mistake has no configuration at all.
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
	// MaxFileBytes follows from the store, which takes values up to 1 MB.
	MaxFileBytes = 1_000_000
	// MaxFiles bounds the root document, which lists every file in up to 210 bytes.
	MaxFiles = 2048
	// MaxFolderBytes leaves room for 740,000 blocks of about 35 bytes twice over.
	MaxFolderBytes = 48_000_000
)

// ErrEmpty reports a folder without configuration files.
var ErrEmpty = errors.New("the folder holds no *.yaml or *.blocks file")

var fileName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,92}\.(yaml|blocks)$`)

const expectedName = "a file name of lower-case letters, digits, dots and hyphens that ends in .yaml or .blocks, at most 100 bytes"

// File is one file of the folder.
type File struct {
	Name    string
	Content []byte
}

// Read returns the configuration files of a directory ordered by name. Hidden
// files and Markdown notes are passed over; any other file is a problem, so
// that a misspelt extension does not go unnoticed.
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
		if entry.IsDir() || !fileName.MatchString(name) {
			problems.add(Problem{File: name, Value: name, Expected: expectedName})

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

// readFile reads at most one byte more than the limit, which Parse then reports.
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

// Parse merges and checks the files. The error is ErrEmpty or *ProblemsError; the
// configuration is only valid without an error and has version 0.
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

// ErrUnknownBlockTarget reports kept client blocks whose site or region is gone.
var ErrUnknownBlockTarget = errors.New("kept client blocks do not fit the sites and regions")

// ParseWithBlocks is Parse for a folder whose *.blocks files, which are left out of
// files, are those of an earlier configuration with the given blocks. After
// ErrUnknownBlockTarget the whole folder must be parsed to learn what is wrong.
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

// checkFiles returns the files whose name and size are acceptable.
func checkFiles(files []File, problems *ProblemsError) []File {
	if len(files) > MaxFiles {
		problems.add(Problem{
			File: files[MaxFiles].Name, Value: fmt.Sprintf("%d files", len(files)),
			Expected: fmt.Sprintf("at most %d files", MaxFiles),
		})

		return nil
	}
	good, total := make([]File, 0, len(files)), 0
	for i, file := range files {
		total += len(file.Content)
		switch {
		case !fileName.MatchString(file.Name):
			problems.add(Problem{File: file.Name, Value: file.Name, Expected: expectedName})
		case i > 0 && files[i-1].Name == file.Name:
			problems.add(Problem{File: file.Name, Value: file.Name, Expected: "each file once"})
		case len(file.Content) > MaxFileBytes:
			problems.add(Problem{
				File: file.Name, Value: "more than 1 MB",
				Expected: fmt.Sprintf("a file of at most %d bytes", MaxFileBytes),
			})
		case total > MaxFolderBytes:
			problems.add(Problem{
				File: file.Name, Value: fmt.Sprintf("%d bytes so far", total),
				Expected: fmt.Sprintf("a folder of at most %d bytes", MaxFolderBytes),
			})

			return nil
		default:
			good = append(good, file)
		}
	}

	return good
}
