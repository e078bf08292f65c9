package shift

import (
	"maps"
	"time"
)

const (
	// recordsPerWindow is the most writes of a service's realised fractions in one
	// window. It bounds how old the stored fractions are: 1/64 of a window's traffic
	// arrives between two writes.
	recordsPerWindow = 64
	// minRecordInterval is the least time between two writes of a service's
	// realised fractions. It applies to short windows.
	minRecordInterval = 250 * time.Millisecond
	// minRecordedChange, in millionths, is how much a fraction must change before
	// it is written again.
	minRecordedChange = whole / 200
	// trafficSlack is a fraction of a window's traffic. In a recent part of the
	// window, a region may receive that much less than its fraction, because
	// requests to different regions do not alternate evenly.
	trafficSlack = 0.01
	// requestSlack is the least slack, in requests. It applies to services with few
	// requests, where trafficSlack amounts to less.
	requestSlack = 2
)

// realised returns, by region, a lower bound in millionths of the fraction that
// the region received. The bound holds for every window that ended during the
// last window. Apart from a slack, it also holds for the newest n buckets, for
// every n up to bucketsPerWindow. A new entry that starts from these bounds does
// not exceed the cap. realised returns nil when no request arrived for a window.
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

// lowestRecentFraction computes the fraction that a region received in the last
// bucket, in the last two buckets and so on up to the whole window, and adds the
// slack to each fraction. It returns the lowest sum, but at most 1.
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
// now, and if so sets the earliest time of the next record. It returns false when
// t.whole is set: without a limit nothing depends on the fractions.
func (r *regionTraffic) recordDue(t *serviceTraffic) bool {
	if t.whole || r.now < t.nextRecordAt {
		return false
	}
	t.nextRecordAt = r.now + max(minRecordInterval, t.window/recordsPerWindow)

	return true
}

// recordRealised records, in the document d, the fractions that this entry
// realised. It reports whether d changed. The entry with the lowest VM name records its
// fractions for all entries, because entries that have run for two windows
// realise the same fractions. An entry that has run for less than two windows
// also records its own fractions under the name of its VM.
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

// forgetAbsent removes the records of VMs that have been absent for two windows:
// their traffic is no longer part of any window that counts. The function present
// reports whether the VM of the given name runs an entry.
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

// initialFractions returns the fractions, by serving region, with which a new
// entry starts. They do not exceed the fractions that the document d records for
// all entries. If d has a record of the predecessor on the same VM, they do not
// exceed that record. Otherwise they do not exceed the record of any VM that runs
// no known entry.
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

// minFractions returns, for each region, the lower of its fractions in a and b. A
// region that has no fraction in a or in b, or the fraction 0, is left out.
func minFractions(a, b map[string]uint32) map[string]uint32 {
	out := map[string]uint32{}
	for name, v := range a {
		if v = min(v, b[name]); v > 0 {
			out[name] = v
		}
	}

	return out
}

// hasLowestVMName reports whether no known entry of this region has a lower VM
// name than this entry.
func (r *regionTraffic) hasLowestVMName() bool {
	for _, p := range r.peers {
		if p.Member.VM < r.settings.Self.VM {
			return false
		}
	}

	return true
}

// hasEntry reports whether a VM runs this entry or another known entry of this
// region.
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

// changed reports whether the fraction of any region differs between a and b by
// more than minRecordedChange and by more than the fraction that requestSlack
// requests make up of the last window.
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
