package store

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// documentPrefix starts the store keys of claim pages.
const documentPrefix = "claims/"

// maxPageClaims keeps a page below the store's limit of 1 MB a value; a claim
// takes about 110 bytes.
const maxPageClaims = 8000

// claim is the right of one entry VM to run the request of one key.
type claim struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Nonce tells the claims of one process apart.
	Nonce uint64 `json:"nonce"`
}

// holder returns the process that made the claim.
func (c claim) holder() event.Member {
	return event.Member{VM: c.VM, Incarnation: c.Incarnation}
}

// page is the value of one store key under documentPrefix; it is immutable.
type page struct {
	// Hour is the hour of issue of the keys, in hours since 1970.
	Hour int64 `json:"hour"`
	// Nonce is that of the write that stored the page.
	Nonce uint64 `json:"nonce"`
	// Claims holds the claims by the digests of their idempotency keys.
	Claims map[string]claim `json:"claims"`
}

// decodePage decodes the value of a document as the page of the given hour. No value
// and a page of an earlier hour give an empty page; a page of a later hour is
// returned as it is.
func decodePage(value []byte, hour int64) (page, error) {
	empty := page{Hour: hour, Claims: map[string]claim{}}
	if len(value) == 0 {
		return empty, nil
	}
	var p page
	if err := json.Unmarshal(value, &p); err != nil {
		return page{}, fmt.Errorf("decode claim page: %w", err)
	}
	if p.Hour < hour {
		return empty, nil
	}
	if p.Claims == nil {
		p.Claims = map[string]claim{}
	}

	return p, nil
}

func (p page) encode() ([]byte, error) {
	value, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode claim page: %w", err)
	}

	return value, nil
}

// withNonce returns the page with the nonce of the write that stores it.
func (p page) withNonce(nonce uint64) page {
	p.Nonce = nonce

	return p
}

// withChanges returns the page with claims added and removed, by digest. A claim is
// removed only when it is the one that the page holds.
func (p page) withChanges(added map[string]claim, removed map[string]claim) page {
	next := make(map[string]claim, len(p.Claims)+len(added))
	maps.Copy(next, p.Claims)
	for digest, c := range removed {
		if next[digest] == c {
			delete(next, digest)
		}
	}
	maps.Copy(next, added)
	p.Claims = next

	return p
}
