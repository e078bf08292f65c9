// Package experiment measures entry VMs under load and faults with real processes,
// for `greengagetally-lab experiment`. The cases are those of section 1.3 of
// docs/design.md.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/lab/backend"
	"github.com/greengagetally/greengagetally/internal/lab/world"
)

// Settings are common to all cases.
type Settings struct {
	// ProductBinary and LabBinary are the paths of the binaries, ExamplesDir is
	// the parent of the example folders and PagesDir receives the result pages.
	ProductBinary, LabBinary, ExamplesDir, PagesDir string
	// Runs is the number of runs of the case.
	Runs int
	Out  io.Writer
}

// errUnknownCase is returned for the name of a case that does not exist.
var errUnknownCase = errors.New("the case does not exist")

var cases = map[string]func(context.Context, *caseRun) error{
	"straggler":   runStraggler,
	"long-work":   runLongWork,
	"overload":    runOverload,
	"link":        runLink,
	"shift":       runShift,
	"retry-storm": runRetryStorm,
	"poison":      runPoison,
	"zone-loss":   runZoneLoss,
	"scale":       runScale,
	"forwarder":   runForwarder,
}

// CaseNames returns the names of the cases, sorted and separated by commas.
func CaseNames() string {
	return strings.Join(slices.Sorted(maps.Keys(cases)), ", ")
}

// Run runs a case Settings.Runs times and writes its page. A failed run, such
// as one that violated an invariant, is reported on the page and by the error;
// the next runs follow.
func Run(ctx context.Context, name string, s Settings) error {
	run, ok := cases[name]
	if !ok {
		return fmt.Errorf("%q: %w; there are %s", name, errUnknownCase, CaseNames())
	}
	report := &report{name: name, runs: s.Runs}
	var errs []error
	for i := range s.Runs {
		_, _ = fmt.Fprintf(s.Out, "%s: run %d of %d\n", name, i+1, s.Runs)
		c := &caseRun{Settings: s, report: report}
		err := run(ctx, c)
		if err != nil {
			err = fmt.Errorf("run %d: %w", i+1, err)
			report.failures = append(report.failures, err.Error())
			errs = append(errs, err)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("experiment: %w", ctx.Err())
		}
	}
	_, _ = io.WriteString(s.Out, report.renderMarkdown())
	errs = append(errs, report.write(s.PagesDir))

	return errors.Join(errs...)
}

// caseRun is one run of a case.
type caseRun struct {
	Settings

	report *report
}

// recordFigure adds a value of this run to the report and prints it; target is
// shown on the page and not checked.
func (c *caseRun) recordFigure(name, unit, target string, value float64) {
	c.report.recordFigure(name, unit, target, value)
	_, _ = fmt.Fprintf(c.Out, "  %s: %.2f %s\n", name, value, unit)
}

// worldSetup describes the configuration and processes of a case.
type worldSetup struct {
	// example is the name of the example folder.
	example string
	// files holds the content of files by file name. These files replace files of the
	// example or are added to the example.
	files           map[string]string
	medianServiceMs float64
	// adjustOptions and backend, if set, change the options of the world and the spec
	// of each backend server.
	adjustOptions func(*world.Options)
	backend       func(backend.Spec) backend.Spec
}

// with starts a world, calls body and stops the world. After an error, the logs are kept
// and the error names their folder.
func (c *caseRun) with(ctx context.Context, setup worldSetup, body func(*world.World) error) error {
	dir, err := os.MkdirTemp("", "greengagetally-lab-")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	folderDir := filepath.Join(dir, "folder")
	if err := copyExample(folderDir, filepath.Join(c.ExamplesDir, setup.example), setup.files); err != nil {
		return err
	}
	options := world.Options{
		ProductBinary: c.ProductBinary, LabBinary: c.LabBinary, Dir: dir, Folder: folderDir, SecondOctet: 32, EntryCount: 12,
		AdjustBackend: func(s backend.Spec) backend.Spec {
			s.ServiceMs, s.Sigma = setup.medianServiceMs, 0.3
			if setup.backend != nil {
				s = setup.backend(s)
			}

			return s
		},
	}
	if setup.adjustOptions != nil {
		setup.adjustOptions(&options)
	}
	w, err := world.Start(ctx, options)
	if err == nil {
		err = body(w)
	}
	if stopErr := w.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}

	return os.RemoveAll(dir)
}

// copyExample copies an example folder to dir and replaces or adds files.
func copyExample(dir, example string, files map[string]string) error {
	original, err := folder.Read(example)
	if err != nil {
		return fmt.Errorf("read example: %w", err)
	}
	content := map[string]string{}
	for _, f := range original {
		content[f.Name] = string(f.Content)
	}
	maps.Copy(content, files)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("copy example: %w", err)
	}
	for name, text := range content {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return fmt.Errorf("copy example: %w", err)
		}
	}

	return nil
}
