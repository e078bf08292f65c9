package backend

import "time"

const (
	// waitBeforeStraggler is how long a request waits for another backend server
	// before it is sent to a straggler: half of the 40 ms that a request may wait in
	// the queue.
	waitBeforeStraggler = 20 * time.Millisecond
	// othersLoadWeight is the weight of another entry's attempt, compared with 1 for
	// an attempt of this entry. Other entries' attempts are known only from load
	// reports.
	othersLoadWeight = 0.1
	// Servers with a latency below equallyFastRatio times the median count as
	// equally fast. This keeps a server with a few fast responses from receiving all
	// work, and lets a formerly slow server receive work again.
	equallyFastRatio = 1.25
)

// pickFunc returns one of the candidates, or nil when the request should wait.
type pickFunc func(t *serverTable, svc *service, candidates []*server, q Query) *server

// policy orders the backend servers that may take a request.
type policy interface {
	// filter returns the candidates whose costs are compared.
	filter(t *serverTable, svc *service, candidates []*server, q Query) []*server
	// cost returns the cost of sending the request to the server; the server with
	// the lowest cost is chosen.
	cost(svc *service, s *server, q Query) float64
}

// pickFuncOf returns the function for a value of Settings.Policy.
func pickFuncOf(policyName string) pickFunc {
	switch policyName {
	case "round-robin":
		return pickLowestCost[roundRobin]
	case "least-in-flight":
		return pickLowestCost[leastInFlight]
	case "two-choices":
		return pickLowestCost[twoChoices]
	default:
		return pickLowestCost[scored]
	}
}

// pickLowestCost picks the candidate with the lowest cost, at random among
// equals.
func pickLowestCost[P policy](t *serverTable, svc *service, candidates []*server, q Query) *server {
	var p P
	var best *server
	lowestCost, ties := 0.0, 0
	for _, s := range p.filter(t, svc, candidates, q) {
		cost := p.cost(svc, s, q)
		switch {
		case best == nil || cost < lowestCost:
			best, lowestCost, ties = s, cost, 1
		case cost == lowestCost:
			ties++
			if t.random.IntN(ties) == 0 {
				best = s
			}
		}
	}

	return best
}

// scored excludes stragglers and combines attempts in flight and latency
// relative to the median.
type scored struct{}

// filter sets latencyRatio of the candidates and returns the candidates that are
// not stragglers. When all candidates are stragglers, a hedge gets none. Any other
// request gets all of them after it has waited for waitBeforeStraggler, or at once
// when most usable servers of the service are stragglers.
func (scored) filter(_ *serverTable, svc *service, candidates []*server, q Query) []*server {
	fast := 0
	for i, s := range candidates {
		s.latencyRatio = svc.latencyRatio(q.Now, s)
		if s.latencyRatio <= stragglerRatio {
			candidates[i], candidates[fast] = candidates[fast], s
			fast++
		}
	}
	if fast > 0 || len(candidates) == 0 {
		return candidates[:fast]
	}
	if !q.Hedge && (q.Waited >= waitBeforeStraggler || svc.mostAreSlow(q)) {
		return candidates
	}

	return nil
}

// mostAreSlow reports whether more than half of the usable servers are stragglers. If
// so, a request does not wait for a faster server.
func (svc *service) mostAreSlow(q Query) bool {
	slow, usable := 0, 0
	for _, s := range svc.servers {
		if !s.usable(q.Now) {
			continue
		}
		usable++
		if svc.isStraggler(q.Now, s) {
			slow++
		}
	}

	return 2*slow > usable
}

func (scored) cost(_ *service, s *server, q Query) float64 {
	return (float64(s.inFlight) + 1 + s.othersLoad(q.Now)) * max(equallyFastRatio, s.latencyRatio)
}

// allCandidates is the filter of baselines that compare all candidates.
type allCandidates struct{}

func (allCandidates) filter(_ *serverTable, _ *service, candidates []*server, _ Query) []*server {
	return candidates
}

// roundRobin picks the server that has gone longest without a new attempt.
type roundRobin struct{ allCandidates }

func (roundRobin) cost(_ *service, s *server, _ Query) float64 {
	return float64(s.attemptNumber)
}

// leastInFlight picks the server with the fewest attempts of this entry in flight.
type leastInFlight struct{ allCandidates }

func (leastInFlight) cost(_ *service, s *server, _ Query) float64 {
	return float64(s.inFlight)
}

// twoChoices compares the reported load of two random candidates.
type twoChoices struct{}

func (twoChoices) filter(t *serverTable, _ *service, candidates []*server, _ Query) []*server {
	n := len(candidates)
	if n <= 2 {
		return candidates
	}
	i := t.random.IntN(n)
	candidates[0], candidates[i] = candidates[i], candidates[0]
	j := 1 + t.random.IntN(n-1)
	candidates[1], candidates[j] = candidates[j], candidates[1]

	return candidates[:2]
}

func (twoChoices) cost(_ *service, s *server, _ Query) float64 {
	return float64(s.loadReport.inFlight)
}
