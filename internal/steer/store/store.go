// Package store claims idempotency keys in the platform's store, so that only one of
// the requests with the same key may run. The program "greengagetally entry" uses it.
//
// The claims of many idempotency keys share a page, which is the value of one store
// key. A claim is added to its page by compare-and-swap before the request is sent to
// a backend server. Claims that arrive while a write of their page is in flight share
// the next write.
package store

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// maxWriteTries is the largest number of compare-and-swaps for one claim, each of
	// which can fail with a conflict.
	maxWriteTries = 8
	// cleanupInterval is the time between tries to remove a claim whose request was
	// refused while the store did not answer. Such a removal is called a cleanup.
	cleanupInterval = 5 * time.Second
	// maxCleanups bounds the memory for cleanups: no cleanup is queued for a page if
	// this number of operations already waits for the page.
	maxCleanups = 1000
	// maxIdlePages is the number of pages without operations that stay cached, so
	// that the next claim on such a page needs no read.
	maxIdlePages = 16
)

// State is the part of the reducer that holds the claims of the requests in progress,
// the claim pages that are cached, and the operations that wait for the store. Copies
// share their maps, so only the newest copy may be used.
type State struct {
	self event.Member
	// nonce is the last nonce given to a claim or a write.
	nonce     uint64
	documents map[string]*document // by store key
	// own holds the claims of requests that are in progress, by request.
	own map[event.RequestID]requestClaim
}

// requestClaim is the claim of a request in progress, granted or still waiting.
type requestClaim struct {
	key   Key
	claim claim
}

// document is the cached copy of the page under one store key, together with the
// operations that wait for the page or are being written to it.
type document struct {
	storeKey string
	// hour is the hour in which the idempotency keys of the page were issued, in
	// hours since 1970.
	hour int64
	// known is false while the page must be read before the next write. The read
	// sets the fields version and page.
	known   bool
	version uint64
	page    page
	waiting []operation
	// inFlight are the operations of the write in flight.
	inFlight []operation
	reading  bool
	// writeNonce is the nonce of the write in flight, or 0.
	writeNonce uint64
	lastUsed   time.Duration
	// retryAt is the time before which no store call starts, or 0. It keeps tries of
	// a cleanup cleanupInterval apart.
	retryAt time.Duration
}

// operation adds or removes one claim.
type operation struct {
	request event.RequestID
	digest  string // of the idempotency key
	claim   claim
	remove  bool
	// silent is true for a cleanup, which raises no event.
	silent bool
	// written is true once a write with this claim may have taken effect.
	written bool
	tries   int // writes that the operation was part of
}

// New returns a state without claims.
func New(self event.Member) State {
	return State{
		self:      self,
		documents: map[string]*document{},
		own:       map[event.RequestID]requestClaim{},
	}
}

// Claim starts to claim the idempotency key in text for the request. The result is
// raised as event.ClaimEnded. It is ClaimUnavailable at once if the key is malformed or
// the page is busy with keys that were issued in another hour (see State.document).
// Otherwise the event is raised when the claim is stored, turns out to be a duplicate,
// or cannot be stored.
func (s State) Claim(now time.Duration, request event.RequestID, text string) (State, []event.Effect) {
	key, err := ParseKey(text)
	if err != nil {
		return s, []event.Effect{raiseClaimEnded(now, request, event.ClaimUnavailable, event.Member{})}
	}
	s.nonce++
	op := operation{
		request: request,
		digest:  key.digest(),
		claim:   claim{VM: s.self.VM, Incarnation: s.self.Incarnation, Nonce: s.nonce},
	}
	doc, ok := s.document(key)
	if !ok {
		return s, []event.Effect{raiseClaimEnded(now, request, event.ClaimUnavailable, event.Member{})}
	}
	s.own[request] = requestClaim{key: key, claim: op.claim}
	doc.lastUsed = now
	doc.retryAt = 0
	doc.waiting = append(doc.waiting, op)

	return s.advance(now, doc, nil)
}

// Release starts to remove the claim of a request that did not run. The result is
// raised as event.ClaimReleaseEnded. Released is false at once if the request has no
// claim or the page is busy with keys that were issued in another hour (see
// State.document). Otherwise the event is raised when the page no longer holds the
// claim, with Released true, or when the store fails, with Released false.
func (s State) Release(now time.Duration, request event.RequestID) (State, []event.Effect) {
	own, ok := s.own[request]
	if !ok {
		return s, []event.Effect{raiseClaimReleased(now, request, false)}
	}
	delete(s.own, request)
	doc, ok := s.document(own.key)
	if !ok {
		return s, []event.Effect{raiseClaimReleased(now, request, false)}
	}
	doc.lastUsed = now
	doc.retryAt = 0
	doc.waiting = append(doc.waiting, operation{
		request: request, digest: own.key.digest(), claim: own.claim, remove: true, written: true,
	})

	return s.advance(now, doc, nil)
}

// Finish forgets a request whose claim stays in the store.
func (s State) Finish(request event.RequestID) State {
	delete(s.own, request)

	return s
}

// Handle applies answers of the store and ticks; other events are ignored.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	switch ev := ev.(type) {
	case event.DocumentRead:
		return s.read(ev)
	case event.DocumentWritten:
		return s.written(ev)
	case event.Tick:
		return s.tick(ev.Time())
	}

	return s, nil
}

// Waiting returns the number of operations that wait for the store.
func (s State) Waiting() int {
	n := 0
	for _, doc := range s.documents {
		n += len(doc.waiting) + len(doc.inFlight)
	}

	return n
}

// document returns the cached copy of the page to which the claim of the idempotency
// key belongs. If none is cached, it adds a copy that must be read first. Pages of
// hours that are pageReuseHours apart share a store key, and only one of them is cached
// at a time. Therefore document returns false while the page of another hour is cached
// under the store key and is not idle.
func (s State) document(key Key) (*document, bool) {
	storeKey := key.document()
	doc, ok := s.documents[storeKey]
	if ok && doc.hour != key.hour() && !doc.idle() {
		return nil, false
	}
	if !ok || doc.hour != key.hour() {
		doc = &document{storeKey: storeKey, hour: key.hour()}
		s.documents[storeKey] = doc
	}

	return doc, true
}

// idle reports whether no operation waits and no call is in flight.
func (d *document) idle() bool {
	return len(d.waiting) == 0 && len(d.inFlight) == 0 && !d.reading
}

// advance starts the next store call for a document that has waiting operations, no
// call in flight and no retryAt in the future.
func (s State) advance(now time.Duration, doc *document, effects []event.Effect) (State, []event.Effect) {
	if doc.reading || doc.writeNonce != 0 || len(doc.waiting) == 0 || now < doc.retryAt {
		return s, effects
	}
	if !doc.known {
		doc.reading = true

		return s, append(effects, event.ReadDocument{Key: doc.storeKey})
	}
	effects = s.endDecided(now, doc, effects)
	if len(doc.waiting) == 0 {
		return s, effects
	}

	return s.write(now, doc, effects)
}

// endDecided ends the waiting operations that need no write. A claim is granted if the
// page holds it. A claim is a duplicate if the page or an earlier waiting operation has
// another claim of the same key. A removal is done if the page does not hold its claim.
// A claim is refused if the page is full or of a later hour, or after maxWriteTries
// writes.
func (s State) endDecided(now time.Duration, doc *document, effects []event.Effect) []event.Effect {
	seen := map[string]bool{}
	rest := doc.waiting[:0:0]
	for _, op := range doc.waiting {
		current, taken := doc.page.Claims[op.digest]
		switch {
		case op.remove && (!taken || current != op.claim):
			effects = op.appendEnded(now, true, effects)
		case op.remove:
			rest = append(rest, op)
		case taken && current == op.claim:
			effects = append(effects, raiseClaimEnded(now, op.request, event.ClaimGranted, event.Member{}))
		case taken:
			delete(s.own, op.request)
			effects = append(effects, raiseClaimEnded(now, op.request, event.ClaimDuplicate, current.holder()))
		case seen[op.digest]:
			delete(s.own, op.request)
			effects = append(effects, raiseClaimEnded(now, op.request, event.ClaimDuplicate, s.self))
		case len(doc.page.Claims)+len(rest) >= maxPageClaims, doc.page.Hour > doc.hour, op.tries >= maxWriteTries:
			effects = s.refuseClaim(now, op, effects)
		default:
			seen[op.digest] = true
			rest = append(rest, op)
		}
	}
	doc.waiting = rest

	return effects
}

// write sends all waiting operations in one compare-and-swap.
func (s State) write(now time.Duration, doc *document, effects []event.Effect) (State, []event.Effect) {
	added, removed := map[string]claim{}, map[string]claim{}
	for i := range doc.waiting {
		op := &doc.waiting[i]
		op.tries++
		if op.remove {
			removed[op.digest] = op.claim
		} else {
			added[op.digest] = op.claim
		}
	}
	s.nonce++
	next := doc.page.withChanges(added, removed).withNonce(s.nonce)
	value, err := next.encode()
	if err != nil {
		return s.failWaiting(now, doc, effects)
	}
	doc.inFlight, doc.waiting = doc.waiting, nil
	doc.writeNonce = s.nonce
	doc.page = next

	return s, append(effects, event.WriteDocument{
		Key: doc.storeKey, ExpectedVersion: doc.version, Value: value, Nonce: s.nonce,
	})
}
