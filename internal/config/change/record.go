package change

import (
	"strings"
	"time"
	"unicode/utf8"
)

// Result says whether a change made a version, and if not, why.
type Result string

// Results of changes.
const (
	// Accepted is the result if the change made a version.
	Accepted Result = "accepted"
	// Conflict is the result if another change of the same file came first.
	Conflict Result = "conflict"
	// Invalid is the result if the change, or the folder after the change, has a
	// mistake.
	Invalid Result = "invalid"
	// Unknown is the result if the store does not tell whether the change took
	// effect.
	Unknown Result = "unknown"
	// Refused is the result if the change was not tried because the store did not
	// answer.
	Refused Result = "refused"
)

// Bounds of a record, so that RecentRecords (64) records fit in the root document.
const (
	maxRecordFiles     = 20
	maxRecordTextBytes = 500
)

// Record is the audit record of one change.
type Record struct {
	// Time is the wall-clock time of the entry VM that handled the change.
	Time    time.Time `json:"time"`
	Author  string    `json:"author"`
	Message string    `json:"message"`
	Nonce   string    `json:"nonce"`
	// Digest is the short hash of the change. It distinguishes changes that have the
	// same nonce by mistake.
	Digest string `json:"digest"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base-version"`
	// Version is the version that the change made, or 0 if it made none.
	Version uint64 `json:"version,omitempty"`
	Result  Result `json:"result"`
	// Detail says more about the result.
	Detail string `json:"detail,omitempty"`
	// Files names the files that the change adds, replaces or removes, in sorted
	// order; at most the first 20.
	Files []string `json:"files"`
	// FileCount is the number of files that the change adds, replaces or removes,
	// including the files that Files leaves out.
	FileCount int `json:"file-count"`
	// Manifest is the hash of the manifest (the list of parts) of the version that the
	// change made, or "" if it made none.
	Manifest string `json:"manifest,omitempty"`
}

// NewRecord returns the record of a change whose result is still open. Long texts
// and long lists of files are truncated.
func NewRecord(c Change, at time.Time) Record {
	names := c.FileNames()

	return Record{
		Time: at.UTC().Truncate(time.Millisecond), Author: truncate(c.Author), Message: truncate(c.Message), Nonce: c.Nonce,
		Digest: c.Digest(), Base: c.Base, Files: names[:min(len(names), maxRecordFiles)], FileCount: len(names),
	}
}

// WithResult returns the record with a result other than Accepted.
func (r Record) WithResult(result Result, detail string) Record {
	r.Result, r.Detail = result, truncate(detail)

	return r
}

// WithManifest returns the record with the hash of the manifest.
func (r Record) WithManifest(hash string) Record {
	r.Manifest = hash

	return r
}

// SameResult reports whether both records state the same result of the same change.
func (r Record) SameResult(other Record) bool {
	return r.Nonce == other.Nonce && r.Digest == other.Digest && r.Result == other.Result && r.Version == other.Version
}

// truncate shortens text to maxRecordTextBytes and appends three dots, if text is longer.
// It cuts a few bytes earlier where a character would be split.
func truncate(text string) string {
	if len(text) <= maxRecordTextBytes {
		return text
	}
	text = text[:maxRecordTextBytes]
	for !utf8.ValidString(text) {
		text = text[:len(text)-1]
	}

	return strings.TrimSpace(text) + "..."
}
