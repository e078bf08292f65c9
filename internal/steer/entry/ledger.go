package entry

import (
	"math"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/steer/region"
)

// regional is the ledger of the tokens that the entries of a region share.
type regional struct {
	*parts
}

// Free implements backend.Tokens.
func (r regional) Free(backend string) int { return r.region.Free(backend) }

// Held implements backend.Tokens.
func (r regional) Held(pool string) int64 { return r.region.Held(pool) }

func (r regional) acquire(backend string) bool {
	next, ok := r.region.AcquireToken(backend)
	r.region = next

	return ok
}

func (r regional) release(backend string) { r.region = r.region.ReleaseToken(backend) }

func (r regional) want(backends []string, now time.Duration) []event.Effect {
	next, effects := r.region.RequestTokens(backends, now)
	r.region = next

	return effects
}

// slots counts the slots of the region's backend servers as tokens of this
// entry, as for a region with one entry and without a store.
type slots struct {
	region string
	held   map[string]int64
	used   map[string]int64
}

func newSlots(region string) *slots {
	return &slots{region: region, held: make(map[string]int64), used: make(map[string]int64)}
}

func (s *slots) configure(config *model.Config) {
	clear(s.held)
	for name, b := range config.Backends {
		if config.RegionOfZone(b.Zone) == s.region {
			s.held[region.BackendPoolName(name)] = int64(b.Slots)
		}
	}
	for id, l := range config.Links {
		if id.From == s.region {
			s.held[region.LinkPoolName(id)] = l.UsableBits() / bitsPerToken
		}
	}
}

// Free implements backend.Tokens.
func (s *slots) Free(backend string) int {
	return int(s.held[region.BackendPoolName(backend)] - s.used[backend])
}

// Held implements backend.Tokens.
func (s *slots) Held(pool string) int64 { return s.held[pool] }

func (s *slots) acquire(backend string) bool {
	if s.Free(backend) < 1 {
		return false
	}
	s.used[backend]++

	return true
}

func (s *slots) release(backend string) { s.used[backend]-- }

func (s *slots) want([]string, time.Duration) []event.Effect { return nil }

// unlimited is the baseline without limits.
type unlimited struct{}

// Free implements backend.Tokens.
func (unlimited) Free(string) int { return math.MaxInt32 }

// Held implements backend.Tokens.
func (unlimited) Held(string) int64 { return math.MaxInt32 }

func (unlimited) acquire(string) bool { return true }

func (unlimited) release(string) {}

func (unlimited) want([]string, time.Duration) []event.Effect { return nil }
