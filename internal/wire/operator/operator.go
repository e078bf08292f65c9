// Package operator serves the HTTP API that operators call on an entry VM: status,
// drain, and reading and changing the configuration. `greengagetally entry` uses it.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/run/configuration"
)

// MaxBodyBytes bounds the body of a request in bytes: a change of a whole
// configuration folder, with room for JSON escapes.
const MaxBodyBytes = 2 * folder.MaxFolderBytes

// defaultHistoryLimit is the number of audit records returned when a request sets
// no limit.
const defaultHistoryLimit = 100

// Configuration reads and changes the configuration that all entry VMs share.
type Configuration interface {
	// Root returns the root of the version in force; its version is 0 if there is
	// none yet.
	Root() change.Root
	// Folder returns the number and the files of a version; version 0 stands for the
	// version in force.
	Folder(ctx context.Context, version uint64) (uint64, []folder.File, error)
	// Apply makes a change and returns its outcome. An error means that the change
	// had no effect.
	Apply(ctx context.Context, c change.Change) (configuration.Outcome, error)
	// History returns at most limit audit records, newest first.
	History(ctx context.Context, limit int) ([]change.Record, error)
}

// Entry answers questions about the entry VMs and drains this one.
type Entry interface {
	// Status returns what this entry VM knows; its Entries include this one.
	Status() operatorapi.Status
	// AskVersions asks the other entry VMs which configuration version they hold. It
	// skips entry VMs that are known to hold this version or a later version. Status
	// then includes the answers.
	AskVersions(ctx context.Context, version uint64)
	// Drain starts the graceful shutdown of this entry VM and does not wait for it.
	Drain()
}

// New returns the handler of the operator listener. It refuses requests without a
// known token.
func New(c Configuration, e Entry, tokens Tokens) (http.Handler, error) {
	server, err := operatorapi.NewServer(handler{config: c, entry: e}, tokens, operatorapi.WithErrorHandler(writeDecodeError))
	if err != nil {
		return nil, fmt.Errorf("operator server: %w", err)
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		server.ServeHTTP(w, r)
	}), nil
}

// writeDecodeError answers a request that cannot be decoded. The body has the JSON
// format of all error responses.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	body, _ := json.Marshal(map[string]string{"message": err.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// handler implements operatorapi.Handler.
type handler struct {
	config Configuration
	entry  Entry
}

// GetConfig returns the files of a version of the configuration; without a version in
// the request, the files in force. It implements operatorapi.Handler, like the methods
// below.
func (h handler) GetConfig(ctx context.Context, params operatorapi.GetConfigParams) (*operatorapi.Folder, error) {
	version, files, err := h.config.Folder(ctx, uint64(max(0, params.Version.Or(0))))
	if err != nil {
		return nil, err
	}
	out := &operatorapi.Folder{Version: int64(version), Files: make([]operatorapi.File, 0, len(files))}
	for _, f := range files {
		out.Files = append(out.Files, operatorapi.File{Name: f.Name, Content: string(f.Content)})
	}

	return out, nil
}

// ApplyChange changes the configuration. The author of the change is the name of
// the request's token; an author in the body is ignored.
func (h handler) ApplyChange(ctx context.Context, req *operatorapi.Change) (operatorapi.ApplyChangeRes, error) {
	c := change.Change{
		Base: uint64(max(0, req.BaseMinusVersion)), Author: authorOf(ctx), Message: req.Message, Nonce: req.Nonce, Removed: req.Removed,
	}
	for _, f := range req.Files {
		c.Files = append(c.Files, folder.File{Name: f.Name, Content: []byte(f.Content)})
	}
	out, err := h.config.Apply(ctx, c)
	if err != nil {
		return nil, err
	}
	switch out.Result {
	case change.Accepted:
		return &operatorapi.Accepted{Version: int64(out.Version), Zones: out.Zones}, nil
	case change.Conflict:
		return &operatorapi.Conflict{
			File: out.Clash.File, BaseMinusContent: string(out.Clash.Base), CurrentMinusContent: string(out.Clash.Current),
			ChangeMinusContent: string(out.Clash.Change), CurrentMinusVersion: int64(out.Clash.CurrentVersion),
			CurrentMinusAuthor: out.Clash.CurrentAuthor,
		}, nil
	case change.Invalid:
		return problems(out.Problems), nil
	default:
		return nil, unknownOutcomeError(out.Detail)
	}
}

// problems returns the problems in p.List. If p.Total is larger, a last problem states
// how many problems are not listed.
func problems(p *folder.ProblemsError) *operatorapi.Problems {
	out := &operatorapi.Problems{}
	for _, problem := range p.List {
		out.Problems = append(out.Problems, operatorapi.Problem{
			File: problem.File, Line: problem.Line, Column: problem.Column, Message: problem.Message(),
		})
	}
	if more := p.Total - len(p.List); more > 0 {
		out.Problems = append(out.Problems, operatorapi.Problem{Message: fmt.Sprintf("and %d more problems", more)})
	}

	return out
}

// History returns the newest audit records of changes.
func (h handler) History(ctx context.Context, params operatorapi.HistoryParams) (*operatorapi.History, error) {
	records, err := h.config.History(ctx, params.Limit.Or(defaultHistoryLimit))
	if err != nil {
		return nil, err
	}
	out := &operatorapi.History{Records: make([]operatorapi.AuditRecord, 0, len(records))}
	for _, r := range records {
		record := operatorapi.AuditRecord{
			Time: r.Time, Author: r.Author, Message: r.Message, BaseMinusVersion: int64(r.Base),
			Result: operatorapi.AuditRecordResult(r.Result), Files: slices.Clone(r.Files),
		}
		if more := r.FileCount - len(r.Files); more > 0 {
			record.Files = append(record.Files, fmt.Sprintf("and %d more", more))
		}
		if r.Version > 0 {
			record.Version.SetTo(int64(r.Version))
		}
		if r.Detail != "" {
			record.Detail.SetTo(r.Detail)
		}
		out.Records = append(out.Records, record)
	}

	return out, nil
}

// InForce returns the version in force on this entry VM. For each availability zone, it
// returns the number of entry VMs, how many of these hold at least this version, and
// the lowest version that any of these holds. It first asks the other entry VMs for
// their versions.
func (h handler) InForce(ctx context.Context) (*operatorapi.InForce, error) {
	rootVersion := h.config.Root().Version
	h.entry.AskVersions(ctx, rootVersion)
	version := int64(rootVersion)
	zones := make(map[string]*operatorapi.ZoneVersion)
	out := &operatorapi.InForce{Version: version}
	for _, e := range h.entry.Status().Entries {
		z, ok := zones[e.Zone]
		if !ok {
			z = &operatorapi.ZoneVersion{Zone: e.Zone, LowestMinusVersion: e.ConfigMinusVersion}
			zones[e.Zone] = z
		}
		z.Entries++
		z.LowestMinusVersion = min(z.LowestMinusVersion, e.ConfigMinusVersion)
		if e.ConfigMinusVersion >= version {
			z.EntriesMinusInMinusForce++
		}
	}
	for _, z := range zones {
		out.Zones = append(out.Zones, *z)
	}
	slices.SortFunc(out.Zones, func(a, b operatorapi.ZoneVersion) int {
		if a.Zone < b.Zone {
			return -1
		}

		return 1
	})

	return out, nil
}

// Status returns what this entry VM knows about itself and the others.
func (h handler) Status(context.Context) (*operatorapi.Status, error) {
	status := h.entry.Status()

	return &status, nil
}

// Drain starts the graceful shutdown of this entry VM.
func (h handler) Drain(context.Context) error {
	h.entry.Drain()

	return nil
}

// unknownOutcomeError is returned when it is not known whether a change took
// effect.
type unknownOutcomeError string

// Error implements error.
func (e unknownOutcomeError) Error() string {
	return string(e)
}

// NewError returns the response to an error. Status 504 stands for a change that
// may have taken effect; with every other status the call had no effect.
func (h handler) NewError(_ context.Context, err error) *operatorapi.FailureStatusCode {
	var (
		security *ogenerrors.SecurityError
		unknown  unknownOutcomeError
	)
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &security):
		status = http.StatusUnauthorized
		err = errUnknownToken
	case errors.As(err, &unknown):
		status = http.StatusGatewayTimeout
	case errors.Is(err, configuration.ErrVersionNotFound):
		status = http.StatusNotFound
	case errors.Is(err, configuration.ErrNonceReused), errors.Is(err, configuration.ErrMalformedChange):
		status = http.StatusBadRequest
	case errors.Is(err, configuration.ErrStoreUnavailable):
		status = http.StatusServiceUnavailable
	}

	return &operatorapi.FailureStatusCode{StatusCode: status, Response: operatorapi.Error{Message: err.Error()}}
}
