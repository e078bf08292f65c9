package store

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// read handles the result of reading a page.
func (s State) read(ev event.DocumentRead) (State, []event.Effect) {
	doc, ok := s.documents[ev.Key]
	if !ok || !doc.reading {
		return s, nil
	}
	doc.reading = false
	if ev.Failed {
		return s.failWaiting(ev.Time(), doc, nil)
	}
	current, err := decodePage(ev.Value, doc.hour)
	if err != nil {
		next, effects := s.failWaiting(ev.Time(), doc, nil)

		return next, append(effects, event.WriteLog{
			Level: event.LevelWarn, Message: "claim page cannot be read",
			Fields: []event.Field{{Key: "key", Value: ev.Key}, {Key: "error", Value: err.Error()}},
		})
	}
	doc.known, doc.version, doc.page = true, ev.Version, current

	return s.advance(ev.Time(), doc, nil)
}

// written handles the result of a compare-and-swap. After a conflict or an unknown
// result, the page is read before the operations are tried again. The read also shows
// whether a write with a lost answer took effect. If the store refused the write, all
// operations on the page fail.
func (s State) written(ev event.DocumentWritten) (State, []event.Effect) {
	doc, ok := s.documents[ev.Key]
	if !ok || doc.writeNonce == 0 || doc.writeNonce != ev.Nonce {
		return s, nil
	}
	doc.writeNonce = 0
	operations := doc.inFlight
	doc.inFlight = nil
	if ev.Result == event.WriteDone {
		doc.version = ev.Version
		var effects []event.Effect
		for _, op := range operations {
			effects = op.appendEnded(ev.Time(), true, effects)
		}

		return s.advance(ev.Time(), doc, effects)
	}
	if ev.Result == event.WriteUnknown {
		for i := range operations {
			operations[i].written = true
		}
	}
	doc.known = false
	doc.waiting = append(operations, doc.waiting...)
	if ev.Result == event.WriteRefused {
		return s.failWaiting(ev.Time(), doc, nil)
	}

	return s.advance(ev.Time(), doc, nil)
}

// failWaiting ends the waiting operations because the page cannot be read or written.
// It schedules cleanups for the failed removals and for claims that may have been
// stored.
func (s State) failWaiting(now time.Duration, doc *document, effects []event.Effect) (State, []event.Effect) {
	doc.known = false
	operations := doc.waiting
	doc.waiting = nil
	for _, op := range operations {
		if op.remove {
			effects = op.appendEnded(now, false, effects)
			s.scheduleCleanup(now, doc, op)

			continue
		}
		effects = s.refuseClaim(now, op, effects)
		if op.written {
			s.scheduleCleanup(now, doc, op)
		}
	}

	return s, effects
}

// refuseClaim ends a claim with event.ClaimUnavailable; its request must not run.
func (s State) refuseClaim(now time.Duration, op operation, effects []event.Effect) []event.Effect {
	delete(s.own, op.request)

	return append(effects, raiseClaimEnded(now, op.request, event.ClaimUnavailable, event.Member{}))
}

// scheduleCleanup queues the removal of a claim whose request did not run, so that
// the caller can send the request again. The removal is tried every cleanupInterval
// until the store answers.
func (s State) scheduleCleanup(now time.Duration, doc *document, op operation) {
	if len(doc.waiting) >= maxCleanups {
		return
	}
	op.remove, op.silent, op.tries = true, true, 0
	doc.waiting = append(doc.waiting, op)
	doc.retryAt = now + cleanupInterval
}

// tick starts the cleanups that are due. If more than maxIdlePages pages are idle, it
// forgets the least recently used of them.
func (s State) tick(now time.Duration) (State, []event.Effect) {
	var effects []event.Effect
	var oldest *document
	idle := 0
	for _, storeKey := range slices.Sorted(maps.Keys(s.documents)) {
		doc := s.documents[storeKey]
		if !doc.idle() {
			if doc.retryAt != 0 && now >= doc.retryAt {
				doc.retryAt = 0
				s, effects = s.advance(now, doc, effects)
			}

			continue
		}
		idle++
		if oldest == nil || doc.lastUsed < oldest.lastUsed {
			oldest = doc
		}
	}
	if idle > maxIdlePages {
		delete(s.documents, oldest.storeKey)
	}

	return s, effects
}

// appendEnded appends the event that ends an operation. For a claim, the event says
// that the claim is granted. For a removal, the event carries the parameter released.
// Silent operations raise no event.
func (op operation) appendEnded(now time.Duration, released bool, effects []event.Effect) []event.Effect {
	switch {
	case op.silent:
		return effects
	case op.remove:
		return append(effects, raiseClaimReleased(now, op.request, released))
	default:
		return append(effects, raiseClaimEnded(now, op.request, event.ClaimGranted, event.Member{}))
	}
}

func raiseClaimEnded(now time.Duration, request event.RequestID, result event.ClaimResult, holder event.Member) event.Effect {
	return event.RaiseEvent{Event: event.ClaimEnded{At: event.At(now), ID: request, Result: result, Holder: holder}}
}

func raiseClaimReleased(now time.Duration, request event.RequestID, released bool) event.Effect {
	return event.RaiseEvent{Event: event.ClaimReleaseEnded{At: event.At(now), ID: request, Released: released}}
}
