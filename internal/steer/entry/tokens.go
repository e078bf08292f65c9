package entry

import (
	"math"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/steer/region"
)

// regionTokens is the implementation for production: the entries of a region divide its
// tokens among themselves, and this entry uses its share.
type regionTokens struct {
	*parts
}

// Free implements backend.Tokens.
func (r regionTokens) Free(backend string) int { return r.region.Free(backend) }

// Held implements backend.Tokens.
func (r regionTokens) Held(pool string) int64 { return r.region.Held(pool) }

func (r regionTokens) acquire(backend string) bool {
	next, ok := r.region.AcquireToken(backend)
	r.region = next

	return ok
}

func (r regionTokens) release(backend string) { r.region = r.region.ReleaseToken(backend) }

func (r regionTokens) request(backends []string, now time.Duration) []event.Effect {
	next, effects := r.region.RequestTokens(backends, now)
	r.region = next

	return effects
}

// localTokens gives this entry all tokens of its region's backend servers and links, as
// if it were the only entry of the region. It needs no store.
type localTokens struct {
	region string
	held   map[string]int64 // by pool
	used   map[string]int64 // by backend server
}

func newLocalTokens(region string) *localTokens {
	return &localTokens{region: region, held: make(map[string]int64), used: make(map[string]int64)}
}

func (l *localTokens) configure(config *model.Config) {
	clear(l.held)
	for name, b := range config.Backends {
		if config.RegionOfZone(b.Zone) == l.region {
			l.held[region.BackendPoolName(name)] = int64(b.Slots)
		}
	}
	for id, link := range config.Links {
		if id.From == l.region {
			l.held[region.LinkPoolName(id)] = link.UsableBits() / bitsPerToken
		}
	}
}

// Free implements backend.Tokens.
func (l *localTokens) Free(backend string) int {
	return int(l.held[region.BackendPoolName(backend)] - l.used[backend])
}

// Held implements backend.Tokens.
func (l *localTokens) Held(pool string) int64 { return l.held[pool] }

func (l *localTokens) acquire(backend string) bool {
	if l.Free(backend) < 1 {
		return false
	}
	l.used[backend]++

	return true
}

func (l *localTokens) release(backend string) { l.used[backend]-- }

func (l *localTokens) request([]string, time.Duration) []event.Effect { return nil }

// unlimitedTokens always have a free token; they are the baseline without limits
// for experiments.
type unlimitedTokens struct{}

// Free implements backend.Tokens.
func (unlimitedTokens) Free(string) int { return math.MaxInt32 }

// Held implements backend.Tokens.
func (unlimitedTokens) Held(string) int64 { return math.MaxInt32 }

func (unlimitedTokens) acquire(string) bool { return true }

func (unlimitedTokens) release(string) {}

func (unlimitedTokens) request([]string, time.Duration) []event.Effect { return nil }
