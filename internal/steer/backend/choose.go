package backend

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

// maxCandidates bounds the cost of a choice in a large service; the best of 16
// is hardly worse than the best of all.
const maxCandidates = 16

// Tokens tells how many tokens of backend servers this entry has.
type Tokens interface {
	// Free returns how many tokens of a backend server may be used now.
	Free(backend string) int
	// Held returns how many tokens of a pool the entry holds, used or free.
	Held(pool string) int64
}

// Query describes the request for which a backend server is chosen.
type Query struct {
	Now     time.Duration
	Service string
	Class   model.Class
	// Avoid names the backend servers that must not be chosen, such as those to
	// which the request was sent before.
	Avoid []string
	// Waited is how long the request has waited for a token.
	Waited time.Duration
	// ShortWaits is true while short work waits for a token.
	ShortWaits bool
	// Hedge is true for a second attempt, which is of no use at a straggler.
	Hedge bool
}

// Verdict is the result of a choice.
type Verdict int

// Verdicts of a choice.
const (
	// Chosen means that the backend server has a free token.
	Chosen Verdict = iota
	// Busy means that no backend server takes the request now but one may later.
	Busy
	// None means that no backend server takes new work of the service.
	None
)

// Choose returns the name of the backend server to which a request should be
// sent. The name is "" unless the verdict is Chosen.
func (s State) Choose(q Query, tokens Tokens) (string, Verdict) {
	svc, ok := s.services[q.Service]
	if !ok {
		return "", None
	}
	svc.refreshPercentiles(q.Now)
	if q.Class > svc.class && !svc.admitsLong(q, tokens) {
		return "", svc.busyOrNone()
	}
	candidates := s.candidates(svc, q, tokens)
	if best := s.pick(s.serverTable, svc, candidates, q); best != nil {
		return best.name, Chosen
	}

	return "", svc.busyOrNone()
}

// candidates returns the servers that may take the request now. It starts the
// search at a random server and, if Settings.Policy is "", returns at most
// maxCandidates servers. The slice is valid until the next call.
func (t *serverTable) candidates(svc *service, q Query, tokens Tokens) []*server {
	out := t.candidateBuffer[:0]
	n := len(svc.servers)
	if n == 0 {
		return nil
	}
	limit := n
	if t.settings.Policy == "" {
		limit = maxCandidates
	}
	start := t.random.IntN(n)
	for i := 0; i < n && len(out) < limit; i++ {
		b := svc.servers[(start+i)%n]
		if b.usable(q.Now) && tokens.Free(b.name) > 0 && b.rampAllows(q.Now, tokens) && b.admits(svc, q, tokens) {
			out = append(out, b)
		}
	}
	t.candidateBuffer = out

	return out
}

// busyOrNone returns the verdict when no server was chosen: Busy when waiting can
// help, None when the service has no servers or all its servers are leaving.
func (svc *service) busyOrNone() Verdict {
	for _, b := range svc.servers {
		if !b.marks.any() {
			return Busy
		}
	}

	return None
}

// admits reports whether the server may take this request; a server named in
// q.Avoid may not. While short work waits, long work may use at most half of the
// server's slots and at most half of the tokens that the entry holds for the
// server. One long attempt is always allowed.
func (s *server) admits(svc *service, q Query, tokens Tokens) bool {
	for _, name := range q.Avoid {
		if name == s.name {
			return false
		}
	}
	if q.Class <= svc.class || !q.ShortWaits {
		return true
	}
	half := min(int(tokens.Held(s.pool))/2, s.slots/2)

	return s.long < max(1, half)
}

// admitsLong reports whether the service may take one more long request. There is
// no limit unless short work was sent within shortWorkMemory. If it was, and the
// entry holds two or more tokens, one token stays free for short work. While short
// work waits, long work may use half of the tokens, but at least one.
func (svc *service) admitsLong(q Query, tokens Tokens) bool {
	if !svc.seenShort || q.Now-svc.lastShortAt > shortWorkMemory {
		return true
	}
	held, free := 0, 0
	for _, b := range svc.servers {
		if b.marks.any() {
			continue
		}
		held += int(tokens.Held(b.pool))
		free += tokens.Free(b.name)
	}
	if held >= 2 && free < 2 {
		return false
	}

	return !q.ShortWaits || svc.long < max(1, held/2)
}

// LackingTokens returns the names of the backend servers of the named service that
// are usable, are not stragglers, and have no free token at this entry.
func (s State) LackingTokens(now time.Duration, name string, tokens Tokens) []string {
	svc, ok := s.services[name]
	if !ok {
		return nil
	}
	var out []string
	for _, b := range svc.servers {
		if b.usable(now) && tokens.Free(b.name) == 0 && !svc.isStraggler(now, b) {
			out = append(out, b.name)
		}
	}

	return out
}

// Held returns how many tokens, used or free, the entry holds for a service.
func (s State) Held(serviceName string, tokens Tokens) int {
	svc, ok := s.services[serviceName]
	if !ok {
		return 0
	}
	held := 0
	for _, b := range svc.servers {
		held += int(tokens.Held(b.pool))
	}

	return held
}

// Serves reports whether the entry's region has a backend server of the service
// that is not leaving.
func (s State) Serves(serviceName string) bool {
	svc, ok := s.services[serviceName]

	return ok && svc.busyOrNone() == Busy
}
