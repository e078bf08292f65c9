package caller

import (
	"errors"
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/steer/store"
)

// requestArrived decides whether a new request is served, and where.
func (t *requestTable) requestArrived(e event.RequestArrived) {
	if _, ok := t.requests[e.ID]; ok {
		t.reportViolation("request-ids", "request %d arrived twice", e.ID)

		return
	}
	r := newRequest(e)
	t.requests[r.id] = r
	service, ok := t.config.Services[e.Service]
	if !ok {
		t.refuse(r, event.ReasonUnknownService)

		return
	}
	if service.Deadline > 0 {
		r.Deadline = min(r.Deadline, t.now+service.Deadline)
	}
	r.class = t.deps.Backends().Class(e.Service, e.RouteKey, e.Traits.Class)
	if reason := t.admissionRefusal(r); reason != "" {
		t.refuse(r, reason)

		return
	}
	t.serveOrCarry(r)
	t.setTimer(r)
}

// admissionRefusal returns the reason to refuse a new request at once, or "" when
// there is none. It also marks the request if it is a suspect.
func (t *requestTable) admissionRefusal(r *request) event.Reason {
	switch {
	case t.now >= r.Deadline:
		return event.ReasonDeadline
	case t.stopping && t.now >= t.stopRequestedAt+t.settings.LookupTTL:
		return event.ReasonStopping
	case t.deps.Stale(t.now) && t.liveInOtherZone():
		return event.ReasonStaleEntry
	}
	if r.needsClaim() {
		if reason := t.keyRefusal(r.Key); reason != "" {
			return reason
		}
	}
	switch crashes := t.suspects.crashes(t.now, r.Fingerprint); {
	case crashes >= maxCrashes:
		return event.ReasonSuspect
	case crashes > 0:
		r.suspect = true
	}

	return ""
}

// liveInOtherZone reports whether an entry in another availability zone of the
// region is believed to be live. If so, a stale entry refuses new requests in
// favour of that entry. Entries of the own availability zone are probably cut off
// as well.
func (t *requestTable) liveInOtherZone() bool {
	for _, e := range t.deps.Entries(t.settings.Region) {
		if e.Zone != t.settings.Zone {
			return true
		}
	}

	return false
}

// keyRefusal returns the reason to refuse an idempotency key for its form or age,
// or "" when there is none.
func (t *requestTable) keyRefusal(text string) event.Reason {
	key, err := store.ParseKey(text)
	if err != nil {
		return event.ReasonKeyMalformed
	}
	wallClock := time.UnixMilli(int64(t.settings.StartedUnixMS)).Add(t.now)
	if err := key.CheckAge(wallClock); err != nil {
		if errors.Is(err, store.ErrKeyExpired) {
			return event.ReasonKeyExpired
		}

		return event.ReasonKeyMalformed
	}

	return ""
}

// serveOrCarry serves a new request at this entry or carries it to another entry. A
// request that was carried here is served here, so that no request circles between
// entries.
func (t *requestTable) serveOrCarry(r *request) {
	if r.Carried {
		t.serveOrQueue(r)

		return
	}
	region, ok := t.deps.Region(r.Service, r.CallerRegion, t.now)
	if !ok {
		t.refuse(r, event.ReasonShiftCap)

		return
	}
	// The request counts towards the cap as soon as its region is chosen, so that
	// the requests in the queue cannot exceed the cap together.
	t.deps.Sent(r.Service, region, t.now)
	if region != t.settings.Region {
		t.carry(r, region)

		return
	}
	if t.carryInRegion(r) {
		return
	}
	t.serveOrQueue(r)
}

// carryInRegion carries a request to another entry of the own region, if that entry
// should serve the request, and reports whether it carried the request. A suspect
// is carried if another entry is the owner of its fingerprint, because all suspects
// of a fingerprint run at one entry. Any other request is carried if this region
// serves the service but this entry holds no token for it.
func (t *requestTable) carryInRegion(r *request) bool {
	others := t.candidates(t.settings.Region, r.tried)
	if len(others) == 0 {
		return false
	}
	if r.suspect {
		ownerVM := suspectOwner(r.Fingerprint, others).Member.VM
		if weight(r.Fingerprint, t.settings.Self.VM) > weight(r.Fingerprint, ownerVM) {
			return false
		}
	} else if !t.deps.Backends().Serves(r.Service) || t.deps.Backends().Held(r.Service, t.deps.Tokens()) > 0 {
		return false
	}
	t.requestTokens(r.Service)
	t.carry(r, t.settings.Region)

	return true
}
