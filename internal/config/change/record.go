package change

import (
	"strings"
	"time"
	"unicode/utf8"
)

// Result is how a change ended.
type Result string

// Results of changes.
const (
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Invalid  Result = "invalid"
	Unknown  Result = "unknown"
	// Refused changes were not tried, because the store did not answer.
	Refused Result = "refused"
)

// Bounds of a record, which keep 64 of them small enough for the root document.
const (
	maxRecordFiles = 20
	maxRecordText  = 500
)

// Record is the audit record of one change.
type Record struct {
	// Time is the wall-clock time of the entry VM that handled the change.
	Time    time.Time `json:"time"`
	Author  string    `json:"author"`
	Message string    `json:"message"`
	Nonce   string    `json:"nonce"`
	// Digest tells changes apart that use the same nonce by mistake.
	Digest string `json:"digest"`
	// Base is the version that the change was made against.
	Base uint64 `json:"base-version"`
	// Version is the version that the change made, 0 when it made none.
	Version uint64 `json:"version,omitempty"`
	Result  Result `json:"result"`
	Detail  string `json:"detail,omitempty"`
	// Files names the first files that the change touched.
	Files []string `json:"files"`
	// FileCount counts all of them.
	FileCount int `json:"file-count"`
	// Manifest is the hash of the list of parts of Version.
	Manifest string `json:"manifest,omitempty"`
}

// NewRecord returns the record of a change that is not decided yet.
func NewRecord(c Change, at time.Time) Record {
	names := c.FileNames()

	return Record{
		Time: at.UTC().Truncate(time.Millisecond), Author: clip(c.Author), Message: clip(c.Message), Nonce: c.Nonce,
		Digest: c.Digest(), Base: c.Base, Files: names[:min(len(names), maxRecordFiles)], FileCount: len(names),
	}
}

// WithResult returns the record of a change that ended without a version.
func (r Record) WithResult(result Result, detail string) Record {
	r.Result, r.Detail = result, clip(detail)

	return r
}

// WithManifest returns the record with the hash of the list of parts.
func (r Record) WithManifest(hash string) Record {
	r.Manifest = hash

	return r
}

// SameResult reports whether both records tell of the same end of the same change.
func (r Record) SameResult(other Record) bool {
	return r.Nonce == other.Nonce && r.Digest == other.Digest && r.Result == other.Result && r.Version == other.Version
}

func clip(text string) string {
	if len(text) <= maxRecordText {
		return text
	}
	text = text[:maxRecordText]
	for !utf8.ValidString(text) {
		text = text[:len(text)-1]
	}

	return strings.TrimSpace(text) + "..."
}
