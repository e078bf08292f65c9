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

// Errors of Apply; the change had no effect.
var (
	// ErrStoreUnavailable reports that all tries failed, because the store did not
	// answer or other changes came first. No write of the root can have taken effect.
	ErrStoreUnavailable = errors.New("the store does not answer; the change had no effect")
	// ErrNonceReused reports a change with the nonce of an earlier change whose
	// content differs.
	ErrNonceReused = errors.New("the nonce belongs to another change")
	// ErrMalformedChange reports a change that names a file more than once.
	ErrMalformedChange = errors.New("malformed change")
)

const (
	// maxApplyTries bounds the tries to write one change by compare-and-swap.
	maxApplyTries = 10
	// firstApplyPause is the pause after the first failed try. The pause doubles
	// with each try up to maxApplyPause, so that all pauses add up to about 2 s.
	firstApplyPause = 10 * time.Millisecond
	maxApplyPause   = 400 * time.Millisecond
)

// Outcome is the result of a change, with what an operator needs to act on it.
type Outcome struct {
	Result change.Result
	// Version is the version that the change made; 0 if there is none or it is not
	// known.
	Version uint64
	// Zones are the availability zones that are known to hold Version, sorted by name.
	Zones []string
	// Clash is set if Result is change.Conflict.
	Clash *Clash
	// Problems lists the mistakes in the folder if Result is change.Invalid.
	Problems *folder.ProblemsError
	// Detail says why the result is not known if Result is change.Unknown.
	Detail string
}

// Clash holds three texts of a file that two operators changed: Base from the base
// version of the change, Current from the newest version, and Change from the change
// itself. A text is empty where the file does not exist.
type Clash struct {
	File                  string
	Base, Current, Change []byte
	// CurrentVersion is the newest version.
	CurrentVersion uint64
	// CurrentAuthor changed the file last.
	CurrentAuthor string
}

// applier applies one change.
type applier struct {
	c      *Configuration
	change change.Change
	record change.Record
	// mayHaveWritten is true once a write of the root may have taken effect.
	mayHaveWritten bool
	// documentVersion is the newest known version of the root document; a document with
	// a lower version is a stale read.
	documentVersion uint64
	// newRoot is the root that this applier wrote; its version is 0 unless the write
	// is known to have taken effect. newParts holds the compressed parts of the last
	// root that prepare returned, by hash.
	newRoot  change.Root
	newParts map[string][]byte
}

// Apply checks the change, merges it into the newest root and writes the result as the
// new root. Then it waits until enough availability zones hold the new version; after
// 10 s the result is change.Unknown. If a change with the same nonce has already made a
// version, nothing is applied and the outcome has that version.
//
// An error means that the change had no effect. It wraps ErrMalformedChange,
// ErrNonceReused, ErrVersionNotFound or ErrStoreUnavailable, or says that the new root
// cannot be encoded.
func (c *Configuration) Apply(ctx context.Context, ch change.Change) (Outcome, error) {
	if err := ch.Check(); err != nil {
		return Outcome{}, fmt.Errorf("%w: %w", ErrMalformedChange, err)
	}
	c.applyMu.Lock()
	// The change continues when the operator disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	a := &applier{c: c, change: ch, record: change.NewRecord(ch, c.Timer.Wall()), documentVersion: c.newestDocumentVersion()}
	outcome, err := a.run(ctx)
	c.applyMu.Unlock()
	switch {
	case errors.Is(err, ErrStoreUnavailable):
		c.record(ctx, a.record.WithResult(change.Refused, err.Error()))
	case err != nil:
		c.record(ctx, a.record.WithResult(change.Invalid, err.Error()))
	case outcome.Result == change.Accepted:
		return a.finishAccepted(ctx, outcome), nil
	default:
		c.record(ctx, a.record.WithResult(outcome.Result, outcome.auditDetail()))
	}

	return outcome, err
}

// auditDetail returns the detail of the outcome's audit record.
func (o Outcome) auditDetail() string {
	switch {
	case o.Clash != nil:
		return fmt.Sprintf("%s was changed by %s; version %d is in force", o.Clash.File, o.Clash.CurrentAuthor, o.Clash.CurrentVersion)
	case o.Problems != nil:
		return fmt.Sprintf("%d problems, first %s", o.Problems.Total, o.Problems.List[0])
	}

	return o.Detail
}

// run calls tryOnce until the result is known or the tries are used up. Result
// change.Accepted means only that the root was written.
func (a *applier) run(ctx context.Context) (Outcome, error) {
	pause := firstApplyPause
	var lastErr error
	for range maxApplyTries {
		outcome, done, err := a.tryOnce(ctx)
		if done {
			return outcome, err
		}
		lastErr = err
		if !a.c.pause(ctx, pause) {
			break
		}
		pause = min(2*pause, maxApplyPause)
	}
	if errors.Is(lastErr, ErrVersionNotFound) && !a.mayHaveWritten {
		return Outcome{}, lastErr
	}
	if a.mayHaveWritten {
		return Outcome{Result: change.Unknown, Detail: fmt.Sprintf("the store does not tell whether the change took effect: %v", lastErr)}, nil
	}

	return Outcome{}, fmt.Errorf("%w: %w", ErrStoreUnavailable, lastErr)
}

// tryOnce reads the root, merges the change into it and writes the result by
// compare-and-swap. done is false if another try may succeed, because the store did
// not answer or another change was written in between.
func (a *applier) tryOnce(ctx context.Context) (outcome Outcome, done bool, err error) {
	doc, current, err := a.read(ctx)
	if err != nil {
		return Outcome{}, false, err
	}
	if record, ok := current.FindNonce(a.change.Nonce); ok {
		outcome, err = a.earlierOutcome(record)

		return outcome, true, err
	}
	base, record, err := a.c.rootOfVersion(ctx, current, a.change.Base, a.change.Nonce)
	if record != nil {
		outcome, err = a.earlierOutcome(*record)

		return outcome, true, err
	}
	if errors.Is(err, ErrVersionNotFound) && a.change.Base <= current.Version {
		return Outcome{}, true, err
	}
	if err != nil {
		return Outcome{}, false, err
	}

	return a.mergeAndWrite(ctx, doc, base, current)
}

// read reads the newest root and its document from the store. It refuses a stale root:
// a change merged into a stale root would bring an earlier version back.
func (a *applier) read(ctx context.Context) (platform.Document, change.Root, error) {
	doc, err := a.c.Store.Read(ctx, rootKey)
	if err != nil {
		return doc, change.Root{}, fmt.Errorf("read %s: %w", rootKey, err)
	}
	root, err := change.DecodeRoot(doc.Value)
	if err != nil {
		return doc, root, err
	}
	if versionInForce := a.c.Root().Version; doc.Version < a.documentVersion || root.Version < versionInForce {
		return doc, root, fmt.Errorf("the store returned version %d of the configuration, but %d is in force", root.Version, versionInForce)
	}
	a.documentVersion = doc.Version

	return doc, root, nil
}

// earlierOutcome returns the outcome of a change that has taken effect already; record
// is the audit record with the same nonce. The error is ErrNonceReused if that record
// is of another change.
func (a *applier) earlierOutcome(record change.Record) (Outcome, error) {
	if record.Digest != a.record.Digest {
		return Outcome{}, fmt.Errorf("%w: it made version %d", ErrNonceReused, record.Version)
	}

	return Outcome{Result: change.Accepted, Version: record.Version}, nil
}

// mergeAndWrite merges the change into the current root and replaces the root if
// doc is still the store's newest document.
func (a *applier) mergeAndWrite(ctx context.Context, doc platform.Document, base, current change.Root) (Outcome, bool, error) {
	if problems := a.unknownRemovals(base, current); problems != nil {
		return outcomeOfError(problems)
	}
	merged, clash := change.Merge(base, current, a.change)
	if clash != nil {
		outcome, err := a.conflictOutcome(ctx, *clash, current)

		return outcome, err == nil, err
	}
	next, contents, err := a.prepare(ctx, merged)
	if err != nil {
		return outcomeOfError(err)
	}
	if err := a.auditBeforeDrop(ctx, current); err != nil {
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
		a.mayHaveWritten = a.mayHaveWritten || !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrRefused)

		return Outcome{}, false, fmt.Errorf("write %s: %w", rootKey, err)
	}
	a.documentVersion, a.newRoot = version, next

	return Outcome{Result: change.Accepted, Version: next.Version}, true, nil
}

// unknownRemovals lists the files that the change removes although neither root has
// them; it returns nil if there are none.
func (a *applier) unknownRemovals(base, current change.Root) *folder.ProblemsError {
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

// auditBeforeDrop copies the accepted changes of the current root to the audit trail if
// the next root will drop a record that the trail lacks.
func (a *applier) auditBeforeDrop(ctx context.Context, current change.Root) error {
	if len(current.Recent) < change.RecentRecords || a.c.auditedThrough() >= current.Recent[0].Version {
		return nil
	}

	return a.c.auditAccepted(ctx, current)
}

// prepare checks the merged folder. It returns the next root and, by hash, the
// compressed parts that must be written before that root.
func (a *applier) prepare(ctx context.Context, merged change.Root) (change.Root, map[string][]byte, error) {
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
	ownParts := func(_ context.Context, hashes []string, partsByHash map[string][]byte) {
		for _, hash := range hashes {
			if content, ok := contents[hash]; ok {
				partsByHash[hash] = content
			}
		}
	}
	newParts, err := a.c.collectParts(ctx, merged, ownParts, a.c.partsFromStore)
	if err != nil {
		return change.Root{}, nil, err
	}
	if _, err := a.c.parse(merged, newParts); err != nil {
		return change.Root{}, nil, emptyFolderProblem(err)
	}
	manifest, err := change.Manifest(merged.Parts)
	if err != nil {
		return change.Root{}, nil, err
	}
	hash := change.HashOf(manifest)
	if contents[hash], err = compress(manifest); err != nil {
		return change.Root{}, nil, err
	}
	a.newParts = newParts
	a.c.mu.Lock()
	auditPage := a.c.auditPage.Number
	a.c.mu.Unlock()

	return merged.WithAuditPage(auditPage).WithRecord(a.record.WithManifest(hash)), contents, nil
}

// outcomeOfError returns change.Invalid, which is final, if the error reports
// mistakes in the folder; otherwise it returns the error for another try.
func outcomeOfError(err error) (Outcome, bool, error) {
	var problems *folder.ProblemsError
	if errors.As(err, &problems) {
		return Outcome{Result: change.Invalid, Problems: problems}, true, nil
	}

	return Outcome{}, false, err
}

// emptyFolderProblem turns folder.ErrEmpty into a problem of the folder.
func emptyFolderProblem(err error) error {
	if !errors.Is(err, folder.ErrEmpty) {
		return err
	}

	return &folder.ProblemsError{Total: 1, List: []folder.Problem{{File: "folder", Value: "no file", Expected: "at least one file in the folder"}}}
}

// conflictOutcome returns the outcome of a clash, with the texts of the file.
func (a *applier) conflictOutcome(ctx context.Context, clash change.Clash, current change.Root) (Outcome, error) {
	baseText, err := a.c.readPart(ctx, clash.Base)
	if err != nil {
		return Outcome{}, err
	}
	currentText, err := a.c.readPart(ctx, clash.Current)
	if err != nil {
		return Outcome{}, err
	}

	return Outcome{Result: change.Conflict, Clash: &Clash{
		File: clash.File, Base: baseText, Current: currentText, Change: clash.Change,
		CurrentVersion: current.Version, CurrentAuthor: current.AuthorOf(clash.File),
	}}, nil
}
