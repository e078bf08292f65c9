package caller

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// maxCrashes is the number of crashes of backend servers after which requests
	// of a fingerprint are refused. The crashes seen by all entries are added up.
	maxCrashes = 2
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the fields known and completed of suspects. When known is
	// full, a new suspect replaces the one whose last crash is the oldest.
	maxSuspects = 4096
	// blameWindow starts when the connection of a suspect breaks. Other connections
	// to the same backend server that break within it are attributed to the same
	// crash.
	blameWindow = time.Second
	// expireInterval is the time between removals of expired records.
	expireInterval = 10 * time.Second
)

// suspects holds what is known of requests that may crash backend servers, by
// fingerprint. A suspect is a request that was in flight on a backend server when
// the connection to that server broke without a response.
type suspects struct {
	// known holds the suspects by fingerprint.
	known map[uint64]*suspectRecord
	// inFlight counts the requests in flight by fingerprint.
	inFlight map[uint64]int
	// completed holds, by fingerprint, when a backend server last ran a request to
	// its end.
	completed map[uint64]time.Duration
	// blamedUntil holds, by backend server, the time until which broken connections
	// are attributed to a suspect that was in flight there.
	blamedUntil map[string]time.Duration
	// lastExpiry is when expire last removed expired records. It is a pointer
	// because copies of suspects share it.
	lastExpiry *time.Duration
}

// suspectRecord is what is known of one suspect.
type suspectRecord struct {
	// crashes holds the number of crashes that each entry has seen so far. A
	// message with the same number that arrives twice counts once.
	crashes map[event.Member]uint32
	// until is when the suspect is forgotten.
	until time.Duration
}

func newSuspects() suspects {
	return suspects{
		known:       make(map[uint64]*suspectRecord),
		inFlight:    make(map[uint64]int),
		completed:   make(map[uint64]time.Duration),
		blamedUntil: make(map[string]time.Duration),
		lastExpiry:  new(time.Duration),
	}
}

// crashes returns the number of crashes that all entries together attribute to a
// fingerprint, or 0 when no suspect has the fingerprint.
func (s suspects) crashes(now time.Duration, fingerprint uint64) int {
	known, ok := s.known[fingerprint]
	if !ok || now >= known.until {
		return 0
	}

	return known.total()
}

func (s *suspectRecord) total() int {
	total := 0
	for _, n := range s.crashes {
		total += int(n)
	}

	return total
}

// remaining returns how much longer a suspect is remembered, or 0 when no suspect
// has the fingerprint.
func (s suspects) remaining(now time.Duration, fingerprint uint64) time.Duration {
	if known, ok := s.known[fingerprint]; ok {
		return max(0, known.until-now)
	}

	return 0
}

// inFlightCount returns the number of requests of a fingerprint in flight at this
// entry.
func (s suspects) inFlightCount(fingerprint uint64) int {
	return s.inFlight[fingerprint]
}

func (s suspects) addInFlight(fingerprint uint64) {
	s.inFlight[fingerprint]++
}

func (s suspects) removeInFlight(fingerprint uint64) {
	if s.inFlight[fingerprint]--; s.inFlight[fingerprint] <= 0 {
		delete(s.inFlight, fingerprint)
	}
}

// recordCrashes records the number of crashes that the entry named by member has
// seen, unless a number at least as high is known.
func (s suspects) recordCrashes(now time.Duration, fingerprint uint64, member event.Member, crashes uint32) {
	known, ok := s.known[fingerprint]
	if !ok || now >= known.until {
		s.evictOldest()
		known = &suspectRecord{crashes: make(map[event.Member]uint32)}
		s.known[fingerprint] = known
	}
	if crashes > known.crashes[member] {
		known.crashes[member] = crashes
		known.until = now + suspectTTL
	}
}

// evictOldest forgets the suspect whose last crash is the oldest, if there is no room
// for a new one.
func (s suspects) evictOldest() {
	if len(s.known) < maxSuspects {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.known)), func(a, b uint64) int {
		if d := s.known[a].until - s.known[b].until; d != 0 {
			return int(min(max(d, -1), 1))
		}
		if a < b {
			return -1
		}

		return 1
	})
	delete(s.known, oldest)
}

// expire removes expired records, at most once in expireInterval.
func (s suspects) expire(now time.Duration) {
	if now < *s.lastExpiry+expireInterval {
		return
	}
	*s.lastExpiry = now
	maps.DeleteFunc(s.known, func(_ uint64, known *suspectRecord) bool { return now >= known.until })
	maps.DeleteFunc(s.completed, func(_ uint64, at time.Duration) bool { return now >= at+suspectTTL })
	maps.DeleteFunc(s.blamedUntil, func(_ string, until time.Duration) bool { return now >= until })
}

// completedRecently reports whether a request of the fingerprint was run to its end
// within suspectTTL. Such a request does not crash every backend server that runs
// it. It was in flight when servers failed for another reason, as popular requests
// are when an availability zone is lost.
func (s suspects) completedRecently(now time.Duration, fingerprint uint64) bool {
	at, ok := s.completed[fingerprint]

	return ok && now < at+suspectTTL
}

// recordCompletion records that a backend server ran a request of the fingerprint
// to its end. When completed is full, only fingerprints that it already holds are
// updated.
func (s suspects) recordCompletion(now time.Duration, fingerprint uint64) {
	if _, ok := s.completed[fingerprint]; ok || len(s.completed) < maxSuspects {
		s.completed[fingerprint] = now
	}
}

// recordCrash makes a suspect of a request that was in flight on a backend server
// when the connection broke, and tells the other entries. It ignores the crash if a
// request of the fingerprint completed recently. The suspect is not retried unless
// another, known suspect explains the crash. In that case the request may be retried
// alone, and its success clears it.
func (t *requestTable) recordCrash(r *request, backend string) {
	if t.suspects.completedRecently(t.now, r.Fingerprint) {
		return
	}
	crashExplained := !r.suspect && t.crashExplained(backend)
	if r.suspect {
		t.suspects.blamedUntil[backend] = t.now + blameWindow
	}
	crashes := uint32(1)
	if known, ok := t.suspects.known[r.Fingerprint]; ok && t.now < known.until {
		crashes += known.crashes[t.settings.Self]
	}
	r.suspect = !crashExplained
	t.suspects.recordCrashes(t.now, r.Fingerprint, t.settings.Self, crashes)
	t.emit(event.WriteLog{
		Level: event.LevelWarn, Message: "request was in flight on a backend server whose connection broke",
		Fields: []event.Field{
			{Key: "service", Value: r.Service},
			{Key: "backend", Value: backend},
			{Key: "fingerprint", Value: strconv.FormatUint(r.Fingerprint, 16)},
			{Key: "crashes", Value: strconv.Itoa(t.suspects.crashes(t.now, r.Fingerprint))},
		},
	})
	t.broadcastSuspect(&peerpb.Suspect{Fingerprint: r.Fingerprint, Service: r.Service, Crashes: crashes})
}

// crashExplained reports whether a known suspect explains a broken connection to a
// backend server: a suspect is in flight on that server, or the connection of a
// suspect to that server broke within blameWindow.
func (t *requestTable) crashExplained(backend string) bool {
	if t.now < t.suspects.blamedUntil[backend] {
		return true
	}
	for fingerprint := range t.suspects.known {
		if t.suspects.inFlightCount(fingerprint) > 0 && t.suspectInFlightAt(fingerprint, backend) {
			return true
		}
	}

	return false
}

func (t *requestTable) suspectInFlightAt(fingerprint uint64, backend string) bool {
	for _, r := range t.requests {
		if !r.suspect || r.Fingerprint != fingerprint {
			continue
		}
		for _, a := range r.attempts {
			if a.backend == backend {
				return true
			}
		}
	}

	return false
}

// clear records that a backend server has run a request to its end. If the request
// was a suspect, it is no longer one, and the other entries are told.
func (t *requestTable) clear(r *request) {
	t.suspects.recordCompletion(t.now, r.Fingerprint)
	if t.suspects.crashes(t.now, r.Fingerprint) == 0 {
		return
	}
	delete(t.suspects.known, r.Fingerprint)
	t.broadcastSuspect(&peerpb.Suspect{Fingerprint: r.Fingerprint, Service: r.Service, Cleared: true})
}

// suspectReported handles a message from another entry about a suspect.
func (t *requestTable) suspectReported(from event.Member, m *peerpb.Suspect) {
	if !m.GetCleared() {
		if !t.suspects.completedRecently(t.now, m.GetFingerprint()) {
			t.suspects.recordCrashes(t.now, m.GetFingerprint(), from, m.GetCrashes())
		}

		return
	}
	t.suspects.recordCompletion(t.now, m.GetFingerprint())
	delete(t.suspects.known, m.GetFingerprint())
}

// broadcastSuspect sends a message about a suspect to all live entries.
func (t *requestTable) broadcastSuspect(m *peerpb.Suspect) {
	message := &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: m}}
	for _, e := range t.deps.Entries("") {
		if e.Member != t.settings.Self {
			t.emit(event.SendToPeer{To: e.Member, Address: e.PeerAddress, Messages: []*peerpb.Message{message}})
		}
	}
}
