package store

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

var unsafeUnknown = flag.Bool("unsafe-unknown", false, "treat a write with a lost answer as done, to see the run fail")

// fakeStore is the content of a key-value store whose answers can be lost and whose
// writes can take effect late.
type fakeStore struct {
	version map[string]uint64
	value   map[string][]byte
}

// call is a store call that an entry waits for.
type call struct {
	entry  int
	effect event.Effect
}

// simulation runs a few entries that share a store.
type simulation struct {
	t       *rapid.T
	store   fakeStore
	entries []State
	calls   []call
	// lateWrites are writes that may still take effect although their result was
	// reported as unknown.
	lateWrites  []event.WriteDocument
	storeDown   bool
	now         time.Duration
	lastRequest event.RequestID
	keyOf       map[event.RequestID]string
	// granted holds, by key, the request that was granted the claim and has not
	// released it.
	granted map[string]event.RequestID
	ended   map[event.RequestID]bool // requests whose claim has a result
}

func newSimulation(t *rapid.T, entries int) *simulation {
	s := &simulation{
		t: t, store: fakeStore{version: map[string]uint64{}, value: map[string][]byte{}},
		keyOf: map[event.RequestID]string{}, granted: map[string]event.RequestID{}, ended: map[event.RequestID]bool{},
	}
	for i := range entries {
		s.entries = append(s.entries, New(event.Member{VM: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}))
	}

	return s
}

// handleEffects adds the store calls of an entry to calls and checks the results of
// claims that the entry raises.
func (s *simulation) handleEffects(entry int, state State, effects []event.Effect) {
	s.entries[entry] = state
	for _, eff := range effects {
		raised, ok := eff.(event.RaiseEvent)
		if !ok {
			s.calls = append(s.calls, call{entry, eff})

			continue
		}
		claimEnded, ok := raised.Event.(event.ClaimEnded)
		if !ok {
			continue
		}
		require.False(s.t, s.ended[claimEnded.ID], "a claim ends once")
		s.ended[claimEnded.ID] = true
		if claimEnded.Result != event.ClaimGranted {
			continue
		}
		key := s.keyOf[claimEnded.ID]
		other, taken := s.granted[key]
		require.False(s.t, taken, "key %s is granted to requests %d and %d", key, other, claimEnded.ID)
		s.granted[key] = claimEnded.ID
	}
}

func (s *simulation) claim(entry int, key string) {
	s.lastRequest++
	s.keyOf[s.lastRequest] = key
	state, effects := s.entries[entry].Claim(s.now, s.lastRequest, key)
	s.handleEffects(entry, state, effects)
}

func (s *simulation) release(entry int, key string) {
	id, ok := s.granted[key]
	if !ok {
		return
	}
	if _, own := s.entries[entry].own[id]; !own {
		return
	}
	delete(s.granted, key)
	state, effects := s.entries[entry].Release(s.now, id)
	s.handleEffects(entry, state, effects)
}

// answerCall answers one of the waiting store calls, chosen at random.
func (s *simulation) answerCall() {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	c := s.calls[i]
	s.calls = append(s.calls[:i], s.calls[i+1:]...)
	switch eff := c.effect.(type) {
	case event.ReadDocument:
		ev := event.DocumentRead{At: event.At(s.now), Key: eff.Key, Failed: s.storeDown}
		if !s.storeDown {
			ev.Version, ev.Value = s.store.version[eff.Key], s.store.value[eff.Key]
		}
		state, effects := s.entries[c.entry].Handle(ev)
		s.handleEffects(c.entry, state, effects)
	case event.WriteDocument:
		s.answerWrite(c.entry, eff)
	}
}

// answerWrite answers a write. The write takes effect at once, late or never, and its
// answer may be lost.
func (s *simulation) answerWrite(entry int, eff event.WriteDocument) {
	ev := event.DocumentWritten{At: event.At(s.now), Key: eff.Key, Nonce: eff.Nonce}
	switch outcome := rapid.SampledFrom([]string{"answered", "answered", "answer lost", "late", "lost"}).Draw(s.t, "outcome"); {
	case outcome == "lost" || s.storeDown && outcome == "answered":
		ev.Result = event.WriteUnknown
	case outcome == "late":
		ev.Result = event.WriteUnknown
		s.lateWrites = append(s.lateWrites, eff)
	default:
		ev.Result, ev.Version = s.applyWrite(eff)
		if outcome == "answer lost" {
			ev.Result = event.WriteUnknown
		}
	}
	if *unsafeUnknown && ev.Result == event.WriteUnknown {
		ev.Result = event.WriteDone
	}
	state, effects := s.entries[entry].Handle(ev)
	s.handleEffects(entry, state, effects)
}

func (s *simulation) applyWrite(eff event.WriteDocument) (event.WriteResult, uint64) {
	if s.store.version[eff.Key] != eff.ExpectedVersion {
		return event.WriteConflict, 0
	}
	s.store.version[eff.Key]++
	s.store.value[eff.Key] = eff.Value

	return event.WriteDone, s.store.version[eff.Key]
}

// Guards against granting the claim of one key to two requests, and against a claim
// that never gets a result. Meanwhile answers are lost, writes take effect late, the
// store is down and entries race.
func TestClaimIsGrantedOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		keys := []string{"1764800000-aaaaaaaaaaaaaaaa", "1764800000-bbbbbbbbbbbbbbbb", "1764803600-cccccccccccccccc"}
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			entry := rapid.IntRange(0, 2).Draw(t, "entry")
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.SampledFrom([]string{"claim", "answer", "answer", "answer", "release", "late write", "toggle store", "tick"}).Draw(t, "step") {
			case "claim":
				s.claim(entry, key)
			case "answer":
				s.answerCall()
			case "release":
				s.release(entry, key)
			case "late write":
				if len(s.lateWrites) > 0 {
					s.applyWrite(s.lateWrites[0])
					s.lateWrites = s.lateWrites[1:]
				}
			case "toggle store":
				s.storeDown = !s.storeDown
			case "tick":
				s.now += 6 * time.Second
				state, effects := s.entries[entry].Handle(event.Tick{At: event.At(s.now)})
				s.handleEffects(entry, state, effects)
			}
		}
		s.storeDown = false
		for range 1000 {
			if len(s.calls) == 0 {
				break
			}
			s.answerCall()
		}
		for id := range s.keyOf {
			require.True(t, s.ended[id], "claim of request %d never ends", id)
		}
	})
}

// Guards against accepting keys without a usable time of issue: malformed, expired or
// issued in the future.
func TestParseKey(t *testing.T) {
	t.Parallel()
	wall := time.Unix(1764800000, 0)
	for text, want := range map[string]error{
		"1764800000-0123456789abcdef": nil,
		"1764713000-0123456789abcdef": ErrKeyExpired,
		"1764801000-0123456789abcdef": ErrKeyMalformed,
		"1764800000-short":            ErrKeyMalformed,
		"0123456789abcdef":            ErrKeyMalformed,
		"":                            ErrKeyMalformed,
	} {
		key, err := ParseKey(text)
		if err == nil {
			err = key.CheckAge(wall)
		}
		require.ErrorIs(t, err, want, text)
	}
}

// Guards against claims of an earlier hour that stay on a reused page, and against
// losing the claims of a page of the same hour.
func TestPageOfEarlierHourIsEmpty(t *testing.T) {
	t.Parallel()
	old := page{Hour: 10, Claims: map[string]claim{"k": {VM: "a"}}}
	value, err := old.encode()
	require.NoError(t, err)
	reused, err := decodePage(value, 82)
	require.NoError(t, err)
	require.Empty(t, reused.Claims)
	sameHour, err := decodePage(value, 10)
	require.NoError(t, err)
	require.Len(t, sameHour.Claims, 1)
}
