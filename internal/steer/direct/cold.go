package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// coldRateShare is the share of a cold server's rate that the entry VMs use together;
// the rest covers the requests of entry VMs that do not know yet that it is cold, or
// do not know all other entry VMs.
const coldRateShare = 0.75

// entriesKnownAfter is the time after its start by which an entry VM knows all others:
// those that started at the same time are listed and report by then.
const entriesKnownAfter = 2 * time.Second

// coldSpacingFactor lengthens the pause between two requests to a cold server, so that
// late timers do not put more of them into one second than the rate allows.
const coldSpacingFactor = 1.05

// divideColdRate returns how many requests a second the entry VM self may send to a
// cold server that takes perSecond. coldRateShare of it is divided into whole numbers
// among all known entry VMs. The remainder goes to the first by rankEntries, so that all
// entry VMs agree.
func divideColdRate(self, serverID string, entries []string, strengths map[string]int, perSecond float64) float64 {
	total := int(coldRateShare * perSecond)
	if len(entries) <= 1 {
		// An entry VM that knows no others may just have started.
		return min(float64(total), 1)
	}
	n := len(entries)
	share, remainder := total/n, total%n
	if remainder > 0 && slices.Index(rankEntries(serverID, entries, strengths), self) < remainder && slices.Contains(entries, self) {
		share++
	}

	return float64(share)
}

// hasColdRate reports whether this entry VM has a share of a cold server's rate. It has
// none before it knows the other entry VMs, also those that started at the same time.
func (s *state) hasColdRate(srv *server) bool {
	return s.now >= entriesKnownAfter && s.ownColdRate(srv) > 0
}

// ownColdRate returns how many requests a second this entry VM may send to a cold
// server; it computes the rate anew when coldRateInputsVersion has changed.
func (s *state) ownColdRate(srv *server) float64 {
	if len(s.entries) == 0 || s.intent == nil {
		return 0
	}
	if srv.coldRateVersion != s.coldRateInputsVersion {
		total := s.intent.Services[srv.Service].WarmupPerSecond*s.settings.WarmupFactor + s.settings.WarmupAllowance
		srv.coldRate, srv.coldRateVersion = divideColdRate(s.settings.Name, srv.ID, s.entries, s.strengths, total), s.coldRateInputsVersion
	}

	return srv.coldRate
}

// rankEntries returns the entry VMs in the order in which they get a share of a cold
// server's rate: the strongest, which carry the requests, before the others, and
// equally strong ones by rendezvous hash.
func rankEntries(serverID string, names []string, strengths map[string]int) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = rendezvous.Weight(serverID, name)
	}
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(strengths[b], strengths[a]), cmp.Compare(weights[b], weights[a]))
	})

	return out
}

// coldSendAfter returns when the next request may follow one that is sent now to a
// cold server; rate is in requests a second and above 0.
func coldSendAfter(now time.Duration, rate float64) time.Duration {
	return now + time.Duration(coldSpacingFactor*float64(time.Second)/rate)
}
