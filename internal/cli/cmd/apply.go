package cmd

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
)

// progressInterval is the time between two queries for the versions in force.
const progressInterval = 200 * time.Millisecond

// applyResult is the JSON result of a change that was accepted, or that changes no file.
type applyResult struct {
	Version int64                     `json:"version"`
	Zones   []operatorapi.ZoneVersion `json:"zones"`
	Files   []string                  `json:"files"`
}

// applyDiffs sends diffs, the differences from version baseVersion, as one change. It
// waits, for at most maxWait, until the change is in force on every entry VM, and prints
// the result. It returns the accepted version, also when that took longer than maxWait, or
// 0 when no version was accepted.
func applyDiffs(ctx context.Context, env environment, format string, o *operatorClient, baseVersion int64, message string,
	diffs []fileDiff, maxWait time.Duration,
) (int64, error) {
	req := &operatorapi.Change{BaseMinusVersion: baseVersion, Message: message, Nonce: rand.Text(), Files: []operatorapi.File{}, Removed: []string{}}
	result := applyResult{Files: []string{}}
	for _, d := range diffs {
		result.Files = append(result.Files, d.Name)
		if d.Change == "removed" {
			req.Removed = append(req.Removed, d.Name)

			continue
		}
		req.Files = append(req.Files, operatorapi.File{Name: d.Name, Content: string(d.after)})
	}
	// call may send the change to several entry VMs. By the nonce, an entry VM
	// recognises a change that another one has already made.
	res, err := call(ctx, o, func(ctx context.Context, c *operatorapi.Client) (operatorapi.ApplyChangeRes, error) {
		return c.ApplyChange(ctx, req)
	})
	if err != nil {
		return 0, err
	}
	switch res := res.(type) {
	case *operatorapi.Conflict:
		return 0, reportConflict(env, format, res)
	case *operatorapi.Problems:
		return 0, reportInvalid(env, format, res)
	case *operatorapi.Accepted:
		result.Version = res.Version
	default:
		return 0, errors.New("unexpected response of the entry VM")
	}
	if format == "text" {
		_, _ = fmt.Fprintf(env.stdout, "accepted as version %d\n", result.Version)
	}
	result.Zones, err = waitInForce(ctx, env, format, o, result.Version, maxWait)
	if format == "json" {
		err = errors.Join(err, writeResult(env, format, result, ""))
	}

	return result.Version, err
}

// waitInForce prints the progress by availability zone until every entry VM uses the
// version, and returns the versions of the zones. It fails after maxWait.
func waitInForce(ctx context.Context, env environment, format string, o *operatorClient, version int64, maxWait time.Duration,
) ([]operatorapi.ZoneVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	shownLines := make(map[string]string)
	for {
		inForce, err := call(ctx, o, func(ctx context.Context, c *operatorapi.Client) (*operatorapi.InForce, error) {
			return c.InForce(ctx)
		})
		if err == nil && showProgress(env, format, inForce, version, shownLines) {
			return inForce.Zones, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("version %d is accepted, but not in force everywhere after %s; the status command shows the version of each entry VM", version, maxWait)
		case <-ticker.C:
		}
	}
}

// showProgress prints the line of each zone if it differs from the zone's line in
// shownLines. It reports whether every entry VM uses the version.
func showProgress(env environment, format string, inForce *operatorapi.InForce, version int64, shownLines map[string]string) bool {
	everywhere := len(inForce.Zones) > 0 && inForce.Version >= version
	for _, z := range inForce.Zones {
		line := fmt.Sprintf("%s: %d of %d entries", z.Zone, z.EntriesMinusInMinusForce, z.Entries)
		if z.LowestMinusVersion >= version {
			line = fmt.Sprintf("%s: in force on all %d entries", z.Zone, z.Entries)
		}
		everywhere = everywhere && z.LowestMinusVersion >= version
		if format == "text" && shownLines[z.Zone] != line {
			_, _ = fmt.Fprintln(env.stdout, line)
		}
		shownLines[z.Zone] = line
	}

	return everywhere
}

// reportConflict prints the three contents of the file that both changes touched: in
// the base version, in force and in this change. The error is an exitError unless
// printing failed.
func reportConflict(env environment, format string, c *operatorapi.Conflict) error {
	text := fmt.Sprintf("%s was changed by %s, version %d is in force\n--- base\n%s--- in force\n%s--- this change\n%s",
		c.File, c.CurrentMinusAuthor, c.CurrentMinusVersion, c.BaseMinusContent, c.CurrentMinusContent, c.ChangeMinusContent)
	if err := writeResult(env, format, c, text); err != nil {
		return err
	}

	return exitError{code: ExitConflict, message: "nothing was changed; make the change again on the version in force: conflict in " + c.File}
}

// reportInvalid prints the problems that the change would cause. The error is an
// exitError unless printing failed.
func reportInvalid(env environment, format string, p *operatorapi.Problems) error {
	var text strings.Builder
	for _, problem := range p.Problems {
		fmt.Fprintf(&text, "%s:%d:%d: %s\n", problem.File, problem.Line, problem.Column, problem.Message)
	}
	if err := writeResult(env, format, p, text.String()); err != nil {
		return err
	}

	return exitError{code: ExitFailed, message: "the change would make the configuration invalid; correct the problems that are listed"}
}
