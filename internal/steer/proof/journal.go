package proof

import (
	"maps"
	"slices"
)

const (
	// maxSentReports is the number of own reports whose times are kept, and maxListings the
	// number of digests of a relay that list one of them. At the shortest intervals they
	// cover 3 s, which is longer than it takes until a read is known to all.
	maxSentReports = 64
	maxListings    = 64
	// maxRelays is the number of relays whose digests are kept. A region has one, and others
	// for moments while it changes.
	maxRelays = 8
)

// Mark names a digest. The upper half stands for one start of the relay that made it, the
// lower half is the number of the digest since then. 0 is no mark.
type Mark uint64

// relay returns the number that stands for the start of the relay.
func (m Mark) relay() uint32 {
	return uint32(m >> 32)
}

// number returns the number of the digest.
func (m Mark) number() uint32 {
	return uint32(m) //nolint:gosec // The lower half is meant.
}

// listing says that a digest includes an own report that was sent at a moment.
type listing struct {
	number uint32
	sentAt Moment
}

// sentReport is an own report with the moment before it was sent.
type sentReport struct {
	sequence uint32
	at       Moment
	known    bool
}

// Journal records the digests that an entry VM made and received, and which of them list
// its own reports. It is not safe for concurrent use.
type Journal struct {
	// made is the mark of the last own digest.
	made Mark
	sent [maxSentReports]sentReport
	// listings are the newest digests that list own reports, oldest first, by the start of
	// their relay. order holds the keys from the one that is longest unused.
	listings map[uint32][]listing
	order    []uint32
	// newest are the marks of the last digests by region.
	newest map[string]Mark
}

// NewJournal returns an empty journal. start stands for this start of the entry VM and
// should be a random number.
func NewJournal(start uint32) *Journal {
	return &Journal{made: Mark(start) << 32, listings: map[uint32][]listing{}, newest: map[string]Mark{}}
}

// Sent records that the own report with a sequence number is about to be sent.
func (j *Journal) Sent(sequence uint32, at Moment) {
	j.sent[sequence%maxSentReports] = sentReport{sequence: sequence, at: at, known: true}
}

// Make returns the mark of the next own digest, which is that of a region.
func (j *Journal) Make(region string) Mark {
	j.made++
	j.newest[region] = j.made

	return j.made
}

// Received records that a digest of a region came.
func (j *Journal) Received(region string, m Mark) {
	if last := j.newest[region]; last.relay() != m.relay() || last < m {
		j.newest[region] = m
	}
}

// Listed records that a digest, also an own one, includes the own report with a sequence
// number.
func (j *Journal) Listed(m Mark, sequence uint32) {
	report := j.sent[sequence%maxSentReports]
	if !report.known || report.sequence != sequence {
		return
	}
	relay, listed := m.relay(), listing{number: m.number(), sentAt: report.at}
	all := j.listings[relay]
	if len(all) > 0 && listed.number <= all[len(all)-1].number {
		// The digest came late or twice.
		return
	}
	if len(all) >= maxListings {
		all = all[1:]
	}
	j.listings[relay] = append(all, listed)
	j.order = append(slices.DeleteFunc(j.order, func(r uint32) bool { return r == relay }), relay)
	if len(j.order) > maxRelays {
		delete(j.listings, j.order[0])
		j.order = j.order[1:]
	}
}

// Marks returns the marks of the last digests, one for each region. An entry VM calls it
// before it begins to read.
func (j *Journal) Marks() []Mark {
	return slices.Sorted(maps.Values(j.newest))
}

// Before returns the latest known moment before the digests with the given marks were all
// received, and so before a read that began after that. ok is false when none is known.
func (j *Journal) Before(marks []Mark) (latest Moment, ok bool) {
	for _, m := range marks {
		for _, l := range j.listings[m.relay()] {
			if l.number <= m.number() && (!ok || l.sentAt.After(latest)) {
				latest, ok = l.sentAt, true
			}
		}
	}

	return latest, ok
}
