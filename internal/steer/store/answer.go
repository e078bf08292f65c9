package store

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// read takes the content of a page.
func (s State) read(ev event.DocumentRead) (State, []event.Effect) {
	doc, ok := s.documents[ev.Key]
	if !ok || !doc.reading {
		return s, nil
	}
	doc.reading = false
	if ev.Failed {
		return s.fail(ev.Time(), doc, nil)
	}
	current, err := decodePage(ev.Value, doc.hour)
	if err != nil {
		next, effects := s.fail(ev.Time(), doc, nil)

		return next, append(effects, event.WriteLog{
			Level: event.LevelWarn, Message: "claim page cannot be read",
			Fields: []event.Field{{Key: "key", Value: ev.Key}, {Key: "error", Value: err.Error()}},
		})
	}
	doc.known, doc.version, doc.page = true, ev.Version, current

	return s.advance(ev.Time(), doc, nil)
}

// written takes the end of a compare-and-swap.
func (s State) written(ev event.DocumentWritten) (State, []event.Effect) {
	doc, ok := s.documents[ev.Key]
	if !ok || doc.writing == 0 || doc.writing != ev.Nonce {
		return s, nil
	}
	doc.writing = 0
	operations := doc.inFlight
	doc.inFlight = nil
	if ev.Result == event.WriteDone {
		doc.version = ev.Version
		var effects []event.Effect
		for _, op := range operations {
			effects = op.ended(ev.Time(), true, effects)
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
		return s.fail(ev.Time(), doc, nil)
	}

	return s.advance(ev.Time(), doc, nil)
}

// fail ends the waiting operations because the store does not answer.
func (s State) fail(now time.Duration, doc *document, effects []event.Effect) (State, []event.Effect) {
	doc.known = false
	operations := doc.waiting
	doc.waiting = nil
	for _, op := range operations {
		if op.remove {
			effects = op.ended(now, false, effects)
			s.cleanUp(now, doc, op)

			continue
		}
		effects = s.abandon(now, op, effects)
		if op.written {
			s.cleanUp(now, doc, op)
		}
	}

	return s, effects
}

// abandon refuses a claim; its request must not run.
func (s State) abandon(now time.Duration, op operation, effects []event.Effect) []event.Effect {
	delete(s.mine, op.request)

	return append(effects, raiseClaim(now, op.request, event.ClaimUnavailable, event.Member{}))
}

// cleanUp removes a claim of a request that did not run once the store answers
// again, so that the caller can send the request again.
func (s State) cleanUp(now time.Duration, doc *document, op operation) {
	if len(doc.waiting) >= maxCleanups {
		return
	}
	op.remove, op.silent, op.tries = true, true, 0
	doc.waiting = append(doc.waiting, op)
	doc.retryAt = now + cleanupInterval
}

// tick tries postponed operations and forgets idle pages.
func (s State) tick(now time.Duration) (State, []event.Effect) {
	var effects []event.Effect
	var oldest *document
	idle := 0
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		doc := s.documents[name]
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
		delete(s.documents, oldest.name)
	}

	return s, effects
}

// ended raises the end of an operation that the store has decided.
func (op operation) ended(now time.Duration, done bool, effects []event.Effect) []event.Effect {
	switch {
	case op.silent:
		return effects
	case op.remove:
		return append(effects, raiseReleased(now, op.request, done))
	default:
		return append(effects, raiseClaim(now, op.request, event.ClaimGranted, event.Member{}))
	}
}

func raiseClaim(now time.Duration, request event.RequestID, result event.ClaimResult, holder event.Member) event.Effect {
	return event.RaiseEvent{Event: event.ClaimEnded{At: event.At(now), ID: request, Result: result, Holder: holder}}
}

func raiseReleased(now time.Duration, request event.RequestID, released bool) event.Effect {
	return event.RaiseEvent{Event: event.ClaimReleased{At: event.At(now), ID: request, Released: released}}
}
