package change

import (
	"encoding/json"
	"fmt"
	"slices"
)

// PageRecords is the number of records on a full page of the audit trail.
const PageRecords = 100

// Page is one page of the audit trail, stored under the key audit/<number>.
type Page struct {
	Number int `json:"page"`
	// AcceptedThrough is the version of the last accepted change on this page and all
	// earlier pages, or 0 if there is none. Pages hold accepted changes in the order of
	// their versions.
	AcceptedThrough uint64   `json:"accepted-through"`
	Records         []Record `json:"records"`
}

// DecodePage decodes a stored page. If data is empty, it returns an empty page with this
// number. The error wraps ErrMalformed.
func DecodePage(number int, data []byte) (Page, error) {
	p := Page{Number: number}
	if len(data) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(data, &p); err != nil || p.Number != number {
		return Page{}, fmt.Errorf("%w: audit page %d", ErrMalformed, number)
	}

	return p, nil
}

// Encode returns the page as it is stored, in JSON.
func (p Page) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode audit page: %w", err)
	}

	return data, nil
}

// Full reports whether the page has no room for another record.
func (p Page) Full() bool {
	return len(p.Records) >= PageRecords
}

// Next returns the following page, without records.
func (p Page) Next() Page {
	return Page{Number: p.Number + 1, AcceptedThrough: p.AcceptedThrough}
}

// Missing returns the records in r.Recent that are not yet on any page. p must be the
// last page. A record that Recent no longer holds is not returned, so each record must
// be written to a page before a later root drops it.
func (p Page) Missing(r Root) []Record {
	i := slices.IndexFunc(r.Recent, func(record Record) bool { return record.Version > p.AcceptedThrough })
	if i < 0 {
		return nil
	}

	return r.Recent[i:]
}

// Has reports whether the page holds a record of the same change with the same result,
// as SameResult compares them.
func (p Page) Has(record Record) bool {
	return slices.ContainsFunc(p.Records, record.SameResult)
}

// With returns the page with as many of the records added as fit, and the records that
// do not fit.
func (p Page) With(records ...Record) (Page, []Record) {
	count := min(len(records), max(0, PageRecords-len(p.Records)))
	p.Records = append(slices.Clone(p.Records), records[:count]...)
	for _, r := range records[:count] {
		p.AcceptedThrough = max(p.AcceptedThrough, r.Version)
	}

	return p, records[count:]
}
