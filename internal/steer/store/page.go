package store

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// documentPrefix is the prefix of the store keys of claim pages.
const documentPrefix = "claims/"

// maxPageClaims is the largest number of claims on a page. It keeps the page below
// the store's limit of 1 MB for a value; a claim takes about 110 bytes.
const maxPageClaims = 8000

// claim is the right of one process of an entry VM to run the request with an
// idempotency key.
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
	// Hour is the hour in which the idempotency keys were issued, in hours since 1970.
	Hour int64 `json:"hour"`
	// Nonce is the nonce of the write that stored the page.
	Nonce uint64 `json:"nonce"`
	// Claims holds the claims by Key.digest of their idempotency keys.
	Claims map[string]claim `json:"claims"`
}

// decodePage decodes the value of a store key as the page of the given hour. It returns
// an empty page for an empty value and for a page of an earlier hour. A page of a later
// hour is returned as it is.
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

// withNonce returns a copy of the page with the nonce of the write that will store it.
func (p page) withNonce(nonce uint64) page {
	p.Nonce = nonce

	return p
}

// withChanges returns a copy of the page with claims added and removed; both maps are
// by Key.digest. A claim is removed only if the page holds exactly this claim under its
// digest.
func (p page) withChanges(added map[string]claim, removed map[string]claim) page {
	claims := make(map[string]claim, len(p.Claims)+len(added))
	maps.Copy(claims, p.Claims)
	for digest, c := range removed {
		if claims[digest] == c {
			delete(claims, digest)
		}
	}
	maps.Copy(claims, added)
	p.Claims = claims

	return p
}
