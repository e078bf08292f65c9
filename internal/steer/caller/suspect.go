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
	// maxCrashes of backend servers are allowed to one request in the fleet.
	maxCrashes = 2
	// suspectLife is how long a suspect is remembered.
	suspectLife = 10 * time.Minute
	// maxSuspects bounds the memory; the oldest is forgotten first.
	maxSuspects = 4096
	// blameTime is how long the other requests of a backend server may notice a
	// crash after the suspect that is blamed for it.
	blameTime = time.Second
	// expireInterval is the time between searches for old suspects.
	expireInterval = 10 * time.Second
)

// suspects are the fingerprints of requests that were in flight on a backend
// server whose connection broke.
type suspects struct {
	known map[uint64]*suspect
	// active counts the requests in flight by fingerprint.
	active map[uint64]int
	// proven holds when a backend server last ran a request of the fingerprint
	// to its end.
	proven map[uint64]time.Duration
	// blamed holds until when a crash of a backend server is explained.
	blamed  map[string]time.Duration
	expired *time.Duration
}

// suspect counts the crashes that each entry saw, so that a message that
// arrives twice counts once.
type suspect struct {
	crashes map[event.Member]uint32
	until   time.Duration
}

func newSuspects() suspects {
	return suspects{
		known:   make(map[uint64]*suspect),
		active:  make(map[uint64]int),
		proven:  make(map[uint64]time.Duration),
		blamed:  make(map[string]time.Duration),
		expired: new(time.Duration),
	}
}

func (s suspects) crashes(now time.Duration, fingerprint uint64) int {
	known, ok := s.known[fingerprint]
	if !ok || now >= known.until {
		return 0
	}

	return known.total()
}

func (s *suspect) total() int {
	total := 0
	for _, n := range s.crashes {
		total += int(n)
	}

	return total
}

func (s suspects) remaining(now time.Duration, fingerprint uint64) time.Duration {
	if known, ok := s.known[fingerprint]; ok {
		return max(0, known.until-now)
	}

	return 0
}

func (s suspects) running(fingerprint uint64) int {
	return s.active[fingerprint]
}

func (s suspects) enter(fingerprint uint64) {
	s.active[fingerprint]++
}

func (s suspects) leave(fingerprint uint64) {
	if s.active[fingerprint]--; s.active[fingerprint] <= 0 {
		delete(s.active, fingerprint)
	}
}

// add sets the crashes that a member saw.
func (s suspects) add(now time.Duration, fingerprint uint64, member event.Member, crashes uint32) {
	known, ok := s.known[fingerprint]
	if !ok || now >= known.until {
		s.makeRoom()
		known = &suspect{crashes: make(map[event.Member]uint32)}
		s.known[fingerprint] = known
	}
	if crashes > known.crashes[member] {
		known.crashes[member] = crashes
		known.until = now + suspectLife
	}
}

func (s suspects) makeRoom() {
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

func (s suspects) expire(now time.Duration) {
	if now < *s.expired+expireInterval {
		return
	}
	*s.expired = now
	maps.DeleteFunc(s.known, func(_ uint64, known *suspect) bool { return now >= known.until })
	maps.DeleteFunc(s.proven, func(_ uint64, at time.Duration) bool { return now >= at+suspectLife })
	maps.DeleteFunc(s.blamed, func(_ string, until time.Duration) bool { return now >= until })
}

// isProven reports whether a request of the fingerprint was run to its end not
// long ago. Such a request does not crash each backend server that runs it: it
// was in flight when servers failed for another reason, as popular requests are
// when an availability zone is lost.
func (s suspects) isProven(now time.Duration, fingerprint uint64) bool {
	at, ok := s.proven[fingerprint]

	return ok && now < at+suspectLife
}

// prove remembers that a backend server ran a request of the fingerprint to
// its end; when there is no room, only known fingerprints are updated.
func (s suspects) prove(now time.Duration, fingerprint uint64) {
	if _, ok := s.proven[fingerprint]; ok || len(s.proven) < maxSuspects {
		s.proven[fingerprint] = now
	}
}

// crashed marks a request that was in flight on a backend server whose
// connection broke. It is not retried, unless a known suspect explains the
// crash; then it may be retried alone, and its success clears it.
func (t *table) crashed(r *request, backend string) {
	if t.suspects.isProven(t.now, r.Fingerprint) {
		return
	}
	explained := !r.suspect && t.explained(backend)
	if r.suspect {
		t.suspects.blamed[backend] = t.now + blameTime
	}
	crashes := uint32(1)
	if known, ok := t.suspects.known[r.Fingerprint]; ok && t.now < known.until {
		crashes += known.crashes[t.settings.Self]
	}
	r.suspect = !explained
	t.suspects.add(t.now, r.Fingerprint, t.settings.Self, crashes)
	t.emit(event.WriteLog{
		Level: event.LevelWarn, Message: "request was in flight on a backend server whose connection broke",
		Fields: []event.Field{
			{Key: "service", Value: r.Service},
			{Key: "backend", Value: backend},
			{Key: "fingerprint", Value: strconv.FormatUint(r.Fingerprint, 16)},
			{Key: "crashes", Value: strconv.Itoa(t.suspects.crashes(t.now, r.Fingerprint))},
		},
	})
	t.spread(&peerpb.Suspect{Fingerprint: r.Fingerprint, Service: r.Service, Crashes: crashes})
}

// explained reports whether a known suspect is or was just now in flight on a
// backend server.
func (t *table) explained(backend string) bool {
	if t.now < t.suspects.blamed[backend] {
		return true
	}
	for fingerprint := range t.suspects.known {
		if t.suspects.running(fingerprint) > 0 && t.suspectAt(fingerprint, backend) {
			return true
		}
	}

	return false
}

func (t *table) suspectAt(fingerprint uint64, backend string) bool {
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

// clear forgets a suspect that a backend server has run to its end.
func (t *table) clear(r *request) {
	t.suspects.prove(t.now, r.Fingerprint)
	if t.suspects.crashes(t.now, r.Fingerprint) == 0 {
		return
	}
	delete(t.suspects.known, r.Fingerprint)
	t.spread(&peerpb.Suspect{Fingerprint: r.Fingerprint, Service: r.Service, Cleared: true})
}

// heard takes what another entry found out about a request.
func (t *table) heard(from event.Member, m *peerpb.Suspect) {
	if !m.GetCleared() {
		if !t.suspects.isProven(t.now, m.GetFingerprint()) {
			t.suspects.add(t.now, m.GetFingerprint(), from, m.GetCrashes())
		}

		return
	}
	t.suspects.prove(t.now, m.GetFingerprint())
	delete(t.suspects.known, m.GetFingerprint())
}

func (t *table) spread(m *peerpb.Suspect) {
	message := &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: m}}
	for _, e := range t.near.Entries("") {
		if e.Member != t.settings.Self {
			t.emit(event.SendToPeer{To: e.Member, Address: e.PeerAddress, Messages: []*peerpb.Message{message}})
		}
	}
}
