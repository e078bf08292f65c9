package change

import (
	"encoding/json"
	"fmt"
	"slices"
)

// PageRecords is the number of records on a full page of the audit trail.
const PageRecords = 100

// Page is one page of the audit trail, stored under audit/<number>.
type Page struct {
	Number int `json:"page"`
	// AcceptedThrough is the version of the last accepted change on this page or
	// an earlier one; accepted changes stand in the order of their versions.
	AcceptedThrough uint64   `json:"accepted-through"`
	Records         []Record `json:"records"`
}

// DecodePage reads a page; no bytes are an empty page.
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

// Encode returns the page as the store holds it.
func (p Page) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode audit page: %w", err)
	}

	return data, nil
}

// Full reports whether the next record belongs on the next page.
func (p Page) Full() bool {
	return len(p.Records) >= PageRecords
}

// Next returns the empty page that follows.
func (p Page) Next() Page {
	return Page{Number: p.Number + 1, AcceptedThrough: p.AcceptedThrough}
}

// Missing returns the accepted records of a root that the page must get next.
// A gap cannot occur as long as no root drops a record before it is on a page.
func (p Page) Missing(r Root) []Record {
	i := slices.IndexFunc(r.Recent, func(record Record) bool { return record.Version > p.AcceptedThrough })
	if i < 0 {
		return nil
	}

	return r.Recent[i:]
}

// Has reports whether the page holds the record.
func (p Page) Has(record Record) bool {
	return slices.ContainsFunc(p.Records, record.SameResult)
}

// With returns the page with as many of the records as it has room for, and the
// rest.
func (p Page) With(records ...Record) (Page, []Record) {
	room := min(len(records), max(0, PageRecords-len(p.Records)))
	p.Records = append(slices.Clone(p.Records), records[:room]...)
	for _, r := range records[:room] {
		p.AcceptedThrough = max(p.AcceptedThrough, r.Version)
	}

	return p, records[room:]
}
