package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// Errors of changes that had no effect.
var (
	// ErrStoreUnavailable reports that the store did not answer before anything was tried.
	ErrStoreUnavailable = errors.New("the store does not answer; the change had no effect")
	// ErrNonceReused reports a nonce that belongs to another change.
	ErrNonceReused = errors.New("the nonce belongs to another change")
	// ErrMalformedChange reports a change that names a file twice.
	ErrMalformedChange = errors.New("malformed change")
)

const (
	// applyTries bounds the compare-and-swaps of one change.
	applyTries = 10
	// applyPause is the first pause after a failed try; it doubles up to
	// applyLastPause, so that all tries take about 2 s.
	applyPause     = 10 * time.Millisecond
	applyLastPause = 400 * time.Millisecond
)

// Outcome is how a change ended.
type Outcome struct {
	Result change.Result
	// Version is the version that the change made, 0 when none is known.
	Version uint64
	// Zones are the availability zones that hold the version.
	Zones []string
	// Clash tells what conflicts when Result is change.Conflict.
	Clash *Clash
	// Problems tells what is wrong when Result is change.Invalid.
	Problems *folder.ProblemsError
	// Detail tells more when Result is change.Unknown.
	Detail string
}

// Clash holds the texts of a file that two operators changed.
type Clash struct {
	File                  string
	Base, Current, Change []byte
	CurrentVersion        uint64
	// CurrentAuthor changed the file last.
	CurrentAuthor string
}

// attempt is the work on one change.
type attempt struct {
	c      *Configuration
	change change.Change
	record change.Record
	// tried is true once a write of the root may have taken effect.
	tried bool
	// newest is the newest document version read; an older one is a late read.
	newest uint64
	// root is the version made by the change, when the swap is known to have
	// been made by this attempt.
	root  change.Root
	parts map[string][]byte
}

// Apply checks the change, merges it with the newest root and swaps the root. It
// returns once entries in enough availability zones hold the version, or the
// result is known to be another one. An error means that the change had no
// effect.
func (c *Configuration) Apply(ctx context.Context, ch change.Change) (Outcome, error) {
	if err := ch.Check(); err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", ErrMalformedChange, err)
	}
	c.applying.Lock()
	// A caller that goes away does not stop the change halfway.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	a := &attempt{c: c, change: ch, record: change.NewRecord(ch, c.Timer.Wall()), newest: c.seenVersion()}
	out, err := a.run(ctx)
	c.applying.Unlock()
	switch {
	case errors.Is(err, ErrStoreUnavailable):
		c.record(ctx, a.record.WithResult(change.Refused, err.Error()))
	case err != nil:
		c.record(ctx, a.record.WithResult(change.Invalid, err.Error()))
	case out.Result == change.Accepted:
		return a.accept(ctx, out), nil
	default:
		c.record(ctx, a.record.WithResult(out.Result, out.describe()))
	}

	return out, err
}

func (o Outcome) describe() string {
	switch {
	case o.Clash != nil:
		return fmt.Sprintf("%s was changed by %s; version %d is in force", o.Clash.File, o.Clash.CurrentAuthor, o.Clash.CurrentVersion)
	case o.Problems != nil:
		return fmt.Sprintf("%d problems, first %s", o.Problems.Total, o.Problems.List[0])
	}

	return o.Detail
}

// run tries until the result is known. Result change.Accepted means only that
// the swap was made.
func (a *attempt) run(ctx context.Context) (Outcome, error) {
	pause := applyPause
	var last error
	for range applyTries {
		out, done, err := a.try(ctx)
		if done {
			return out, err
		}
		last = err
		if !a.c.pause(ctx, pause) {
			break
		}
		pause = min(2*pause, applyLastPause)
	}
	if errors.Is(last, ErrVersionNotFound) && !a.tried {
		return Outcome{}, last
	}
	if a.tried {
		return Outcome{Result: change.Unknown, Detail: fmt.Sprintf("the store does not tell whether the change took effect: %v", last)}, nil
	}

	return Outcome{}, fmt.Errorf("%w: %w", ErrStoreUnavailable, last)
}

// try makes one compare-and-swap. It is not done when the store gave no answer
// or another change came first.
func (a *attempt) try(ctx context.Context) (out Outcome, done bool, err error) {
	doc, current, err := a.read(ctx)
	if err != nil {
		return Outcome{}, false, err
	}
	if record, ok := current.FindNonce(a.change.Nonce); ok {
		out, err = a.known(record)

		return out, true, err
	}
	base, record, err := a.c.rootAt(ctx, current, a.change.Base, a.change.Nonce)
	if record != nil {
		out, err = a.known(*record)

		return out, true, err
	}
	if errors.Is(err, ErrVersionNotFound) && a.change.Base <= current.Version {
		return Outcome{}, true, err
	}
	if err != nil {
		return Outcome{}, false, err
	}

	return a.swap(ctx, doc, base, current)
}

// read returns the newest root. A document that is older than one read before
// must not be merged with: it would bring an earlier version back.
func (a *attempt) read(ctx context.Context) (platform.Document, change.Root, error) {
	doc, err := a.c.Store.Read(ctx, rootKey)
	if err != nil {
		return doc, change.Root{}, fmt.Errorf("read %s: %w", rootKey, err)
	}
	root, err := change.Decode(doc.Value)
	if err != nil {
		return doc, root, err
	}
	if inForce := a.c.Root().Version; doc.Version < a.newest || root.Version < inForce {
		return doc, root, fmt.Errorf("the store returned version %d although %d is in force", root.Version, inForce)
	}
	a.newest = doc.Version

	return doc, root, nil
}

// known answers for a change that took effect earlier.
func (a *attempt) known(record change.Record) (Outcome, error) {
	if record.Digest != a.record.Digest {
		return Outcome{}, fmt.Errorf("%w: it made version %d", ErrNonceReused, record.Version)
	}

	return Outcome{Result: change.Accepted, Version: record.Version}, nil
}

func (a *attempt) swap(ctx context.Context, doc platform.Document, base, current change.Root) (Outcome, bool, error) {
	if problems := a.unknownRemovals(base, current); problems != nil {
		return unprepared(problems)
	}
	merged, clash := change.Merge(base, current, a.change)
	if clash != nil {
		out, err := a.conflict(ctx, *clash, current)

		return out, err == nil, err
	}
	next, contents, err := a.prepare(ctx, merged)
	if err != nil {
		return unprepared(err)
	}
	if err := a.keepAudited(ctx, current); err != nil {
		return Outcome{}, false, err
	}
	if err := a.c.writeParts(ctx, contents); err != nil {
		return Outcome{}, false, err
	}
	data, err := next.Encode()
	if err != nil {
		return Outcome{}, true, err
	}
	version, err := a.c.Store.Write(ctx, rootKey, doc.Version, data)
	if err != nil {
		a.tried = a.tried || !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrRefused)

		return Outcome{}, false, fmt.Errorf("write %s: %w", rootKey, err)
	}
	a.newest, a.root = version, next

	return Outcome{Result: change.Accepted, Version: next.Version}, true, nil
}

// unknownRemovals reports files to remove that neither root has.
func (a *attempt) unknownRemovals(base, current change.Root) *folder.ProblemsError {
	var problems *folder.ProblemsError
	for _, name := range a.change.Removed {
		if base.Hash(name) != "" || current.Hash(name) != "" {
			continue
		}
		if problems == nil {
			problems = &folder.ProblemsError{}
		}
		problems.Total++
		if problems.Total <= folder.MaxProblems {
			problems.List = append(problems.List, folder.Problem{File: name, Value: name, Expected: "a file of the folder to remove"})
		}
	}

	return problems
}

// keepAudited copies accepted changes to the audit pages before the next root
// drops the oldest of them.
func (a *attempt) keepAudited(ctx context.Context, current change.Root) error {
	if len(current.Recent) < change.RecentRecords || a.c.auditedThrough() >= current.Recent[0].Version {
		return nil
	}

	return a.c.flush(ctx, current)
}

// prepare checks the merged folder and returns the next root with the parts to
// write before it.
func (a *attempt) prepare(ctx context.Context, merged change.Root) (change.Root, map[string][]byte, error) {
	contents := make(map[string][]byte, len(a.change.Files)+1)
	for _, f := range a.change.Files {
		if len(f.Content) > folder.MaxFileBytes {
			_, err := folder.Parse([]folder.File{f})

			return change.Root{}, nil, err
		}
		compressed, err := compress(f.Content)
		if err != nil {
			return change.Root{}, nil, err
		}
		contents[change.HashOf(f.Content)] = compressed
	}
	own := func(_ context.Context, wanted []string, have map[string][]byte) {
		for _, hash := range wanted {
			if content, ok := contents[hash]; ok {
				have[hash] = content
			}
		}
	}
	parts, err := a.c.collect(ctx, merged, own, a.c.storeParts)
	if err != nil {
		return change.Root{}, nil, err
	}
	if _, err := a.c.parse(merged, parts); err != nil {
		return change.Root{}, nil, asProblems(err)
	}
	manifest, err := change.Manifest(merged.Parts)
	if err != nil {
		return change.Root{}, nil, err
	}
	hash := change.HashOf(manifest)
	if contents[hash], err = compress(manifest); err != nil {
		return change.Root{}, nil, err
	}
	a.parts = parts
	a.c.mu.Lock()
	page := a.c.page.Number
	a.c.mu.Unlock()

	return merged.WithAuditPage(page).WithRecord(a.record.WithManifest(hash)), contents, nil
}

// unprepared is done when the error reports mistakes in the folder.
func unprepared(err error) (Outcome, bool, error) {
	var problems *folder.ProblemsError
	if errors.As(err, &problems) {
		return Outcome{Result: change.Invalid, Problems: problems}, true, nil
	}

	return Outcome{}, false, err
}

// asProblems reports a folder that would be left without any file.
func asProblems(err error) error {
	if !errors.Is(err, folder.ErrEmpty) {
		return err
	}

	return &folder.ProblemsError{Total: 1, List: []folder.Problem{{File: "folder", Value: "no file", Expected: "at least one file in the folder"}}}
}

// conflict returns the texts of the clash.
func (a *attempt) conflict(ctx context.Context, clash change.Clash, current change.Root) (Outcome, error) {
	base, err := a.c.text(ctx, clash.Base)
	if err != nil {
		return Outcome{}, err
	}
	now, err := a.c.text(ctx, clash.Current)
	if err != nil {
		return Outcome{}, err
	}

	return Outcome{Result: change.Conflict, Clash: &Clash{
		File: clash.File, Base: base, Current: now, Change: clash.Change,
		CurrentVersion: current.Version, CurrentAuthor: current.AuthorOf(clash.File),
	}}, nil
}
