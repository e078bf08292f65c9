package shift

import (
	"maps"
	"time"
)

const (
	// recordsPerWindow bounds how often realised fractions are written and how
	// old the stored ones are: between two writes at most 1/64 of a window's
	// traffic arrives.
	recordsPerWindow = 64
	// minRecordInterval is the least time between writes of a service's realised
	// fractions, however short its window is.
	minRecordInterval = 250 * time.Millisecond
	// minRecordedChange is the change of a fraction, in millionths, above which it
	// is written.
	minRecordedChange = whole / 200
	// trafficSlack is the part of a window's traffic by which a region may lag
	// behind its fraction in the recent part of the window, because the requests
	// of the regions do not alternate evenly.
	trafficSlack = 0.01
	// requestSlack is the least slack, as a number of requests, for services with few.
	requestSlack = 2
)

// realised returns lower bounds, in millionths, of the fractions that each region
// received in every window that ended within the last one and in every recent
// part of the last one, or nil when no request arrived for a window. A new entry
// that starts from them does not exceed the cap.
func (t *serviceTraffic) realised(now time.Duration) map[string]uint32 {
	if t.counts.advance(now) {
		t.planValid = false
	}
	t.addRegions()
	out := map[string]uint32{}
	for i, name := range t.counts.regions {
		lowestFraction := t.lowestFraction(i, now)
		arrived, _ := t.counts.totals(i)
		if arrived == 0 && now-t.startedAt >= t.window {
			return nil
		}
		if fraction := min(lowestFraction, t.lowestRecentFraction(i, now)); fraction > 0 {
			out[name] = uint32(fraction * whole)
		}
	}
	t.historyBucket = t.counts.newestBucket

	return out
}

// lowestRecentFraction returns the lowest fraction that a region had in the last n
// buckets of the window, over every n, each increased by the slack, and at most 1.
func (t *serviceTraffic) lowestRecentFraction(region int, now time.Duration) float64 {
	arrived, _ := t.counts.totals(region)
	if arrived == 0 {
		return 1
	}
	observed := min(1, float64(now-t.startedAt)/float64(t.window))
	fraction, recentArrived, sent := 1.0, 0, 0
	for back := range int64(bucketsPerWindow) {
		bucket := ((t.counts.newestBucket-back)%bucketsPerWindow + bucketsPerWindow) % bucketsPerWindow
		recentArrived += t.counts.arrived[bucket]
		sent += t.counts.sent[region][bucket]
		if recentArrived > 0 {
			share := observed * float64(recentArrived) / float64(arrived)
			slack := max(trafficSlack, requestSlack/float64(arrived))
			fraction = min(fraction, float64(sent)/float64(recentArrived)+slack/share)
		}
	}

	return fraction
}

// recordDue reports whether the realised fractions of a service may be recorded
// now, and sets when they may be again. Without a cap nothing depends on them.
func (r *regionTraffic) recordDue(t *serviceTraffic) bool {
	if t.whole || r.now < t.nextRecordAt {
		return false
	}
	t.nextRecordAt = r.now + max(minRecordInterval, t.window/recordsPerWindow)

	return true
}

// recordRealised records in a document what this entry realised, and reports
// whether that changed the document. The entry with the lowest VM name records
// its fractions for all entries, as those that have run for two windows realise
// the same. An entry that has run for less also records its own by VM.
func (r *regionTraffic) recordRealised(d *document, service string, t *serviceTraffic) bool {
	realised := t.realised(r.now)
	updated := false
	if r.hasLowestVMName() && len(realised) > 0 && t.changed(realised, d.Realised[service]) {
		d.Realised[service] = realised
		updated = true
	}
	byVM := maps.Clone(d.RealisedByVM[service])
	if byVM == nil {
		byVM = map[string]map[string]uint32{}
	}
	record, recorded := byVM[r.settings.Self.VM]
	switch {
	case r.now-t.startedAt >= 2*t.window:
		delete(byVM, r.settings.Self.VM)
	case len(realised) > 0 && (!recorded || t.changed(realised, record)):
		byVM[r.settings.Self.VM] = realised
		updated = true
	}
	if r.hasLowestVMName() {
		t.forgetAbsent(byVM, r.now, r.hasEntry)
	}
	updated = updated || len(byVM) != len(d.RealisedByVM[service])
	d.RealisedByVM[service] = byVM

	return updated
}

// forgetAbsent removes the records of VMs that have been absent for two
// windows, because no window contains their traffic any more.
func (t *serviceTraffic) forgetAbsent(byVM map[string]map[string]uint32, now time.Duration, present func(string) bool) {
	absentSince := map[string]time.Duration{}
	for vm := range byVM {
		if present(vm) {
			continue
		}
		since, ok := t.absentSince[vm]
		if !ok {
			since = now
		}
		if now-since >= 2*t.window {
			delete(byVM, vm)

			continue
		}
		absentSince[vm] = since
	}
	t.absentSince = absentSince
}

// initialFractions returns the fractions from which a new entry starts: no more
// than the region realised, and no more than its predecessor on the same VM or,
// when that has no record, any entry that is gone.
func (r *regionTraffic) initialFractions(d document, service string) map[string]uint32 {
	fractions := d.Realised[service]
	byVM := d.RealisedByVM[service]
	if record, ok := byVM[r.settings.Self.VM]; ok {
		return minFractions(fractions, record)
	}
	for vm, record := range byVM {
		if !r.hasEntry(vm) {
			fractions = minFractions(fractions, record)
		}
	}

	return fractions
}

// minFractions returns the lower of the two fractions of each region.
func minFractions(a, b map[string]uint32) map[string]uint32 {
	out := map[string]uint32{}
	for name, v := range a {
		if v = min(v, b[name]); v > 0 {
			out[name] = v
		}
	}

	return out
}

// hasLowestVMName reports whether this entry has the lowest VM name of the known
// entries of its region.
func (r *regionTraffic) hasLowestVMName() bool {
	for _, p := range r.peers {
		if p.Member.VM < r.settings.Self.VM {
			return false
		}
	}

	return true
}

// hasEntry reports whether a VM runs this entry or a known one of its region.
func (r *regionTraffic) hasEntry(vm string) bool {
	if vm == r.settings.Self.VM {
		return true
	}
	for _, p := range r.peers {
		if p.Member.VM == vm {
			return true
		}
	}

	return false
}

// changed reports whether fractions differ by more than minRecordedChange and by
// more than requestSlack of the last window's requests.
func (t *serviceTraffic) changed(a, b map[string]uint32) bool {
	arrived, _ := t.counts.totals(0)
	minChange := max(minRecordedChange, requestSlack*whole/uint32(max(1, arrived)))
	for _, m := range []map[string]uint32{a, b} {
		for name := range m {
			if max(a[name], b[name])-min(a[name], b[name]) > minChange {
				return true
			}
		}
	}

	return false
}
