package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// coldRateShare is the share of a cold server's rate that is divided among the entry
// VMs. The rest covers requests of entry VMs that do not know yet that the server is
// cold, or that do not know all other entry VMs.
const coldRateShare = 0.75

// entryVMsKnownAfter is the time after the start of an entry VM by which it knows all
// others. Entry VMs that started at the same time are listed and report by then.
const entryVMsKnownAfter = 2 * time.Second

// coldSpacingFactor lengthens the pause between two requests to a cold server, so that
// late timers do not put more requests into one second than the rate allows.
const coldSpacingFactor = 1.05

// divideColdRate returns how many requests a second the entry VM named self may send to
// a cold server that tolerates perSecond requests a second. The product coldRateShare x
// perSecond is divided into whole numbers among all known entry VMs. The remainder goes
// to the first entry VMs by rankEntryVMs, so that all entry VMs get the same result.
func divideColdRate(self, serverID string, entryVMNames []string, strengths map[string]int, perSecond float64) float64 {
	total := int(coldRateShare * perSecond)
	if len(entryVMNames) <= 1 {
		// An entry VM that knows no others may just have started.
		return min(float64(total), 1)
	}
	n := len(entryVMNames)
	share, remainder := total/n, total%n
	if remainder > 0 && slices.Index(rankEntryVMs(serverID, entryVMNames, strengths), self) < remainder && slices.Contains(entryVMNames, self) {
		share++
	}

	return float64(share)
}

// hasColdRate reports whether this entry VM has a share of a cold server's rate. Before
// entryVMsKnownAfter it has none, because it may not know all other entry VMs.
func (s *state) hasColdRate(srv *server) bool {
	return s.now >= entryVMsKnownAfter && s.ownColdRate(srv) > 0
}

// ownColdRate returns how many requests a second this entry VM may send to a cold
// server. It computes the rate again when coldRateInputsVersion has changed.
func (s *state) ownColdRate(srv *server) float64 {
	if len(s.entryVMNames) == 0 || s.intent == nil {
		return 0
	}
	if srv.coldRateVersion != s.coldRateInputsVersion {
		total := s.intent.Services[srv.Service].WarmupPerSecond*s.settings.WarmupFactor + s.settings.WarmupAllowance
		srv.coldRate, srv.coldRateVersion = divideColdRate(s.settings.Name, srv.ID, s.entryVMNames, s.strengths, total), s.coldRateInputsVersion
	}

	return srv.coldRate
}

// rankEntryVMs returns the entry VMs in the order in which they get a share of a cold
// server's rate. The strongest entry VMs come first, because they carry the requests.
// Equally strong entry VMs are ordered by rendezvous hash.
func rankEntryVMs(serverID string, names []string, strengths map[string]int) []string {
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

// coldSendAfter returns the earliest time of the next request to a cold server after a
// request sent at now. rate is in requests a second and must be above 0.
func coldSendAfter(now time.Duration, rate float64) time.Duration {
	return now + time.Duration(coldSpacingFactor*float64(time.Second)/rate)
}
