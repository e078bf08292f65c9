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

var unsafeUnknown = flag.Bool("unsafe-unknown", false, "treat a lost answer as a failed write, to see the run fail")

// fakeStore is a key-value store whose answers can be lost or come late.
type fakeStore struct {
	version map[string]uint64
	value   map[string][]byte
}

// call is a store call that an entry waits for.
type call struct {
	entry  int
	effect event.Effect
}

// world is a few entries that share a store.
type world struct {
	t       *rapid.T
	store   fakeStore
	entries []State
	calls   []call
	// late are writes whose answer was already reported as unknown.
	late    []event.WriteDocument
	down    bool
	now     time.Duration
	next    event.RequestID
	keyOf   map[event.RequestID]string
	running map[string]event.RequestID
	ended   map[event.RequestID]bool
}

func newWorld(t *rapid.T, entries int) *world {
	w := &world{
		t: t, store: fakeStore{version: map[string]uint64{}, value: map[string][]byte{}},
		keyOf: map[event.RequestID]string{}, running: map[string]event.RequestID{}, ended: map[event.RequestID]bool{},
	}
	for i := range entries {
		w.entries = append(w.entries, New(event.Member{VM: fmt.Sprintf("entry-%d", i), Incarnation: uint64(i + 1)}))
	}

	return w
}

// take runs the effects of an entry and checks the claims that it raises.
func (w *world) take(entry int, state State, effects []event.Effect) {
	w.entries[entry] = state
	for _, eff := range effects {
		raised, ok := eff.(event.RaiseEvent)
		if !ok {
			w.calls = append(w.calls, call{entry, eff})

			continue
		}
		claim, ok := raised.Event.(event.ClaimEnded)
		if !ok {
			continue
		}
		require.False(w.t, w.ended[claim.ID], "a claim ends once")
		w.ended[claim.ID] = true
		if claim.Result != event.ClaimGranted {
			continue
		}
		key := w.keyOf[claim.ID]
		other, taken := w.running[key]
		require.False(w.t, taken, "key %s is granted to requests %d and %d", key, other, claim.ID)
		w.running[key] = claim.ID
	}
}

func (w *world) claim(entry int, key string) {
	w.next++
	w.keyOf[w.next] = key
	state, effects := w.entries[entry].Claim(w.now, w.next, key)
	w.take(entry, state, effects)
}

func (w *world) release(entry int, key string) {
	id, ok := w.running[key]
	if !ok {
		return
	}
	if _, mine := w.entries[entry].mine[id]; !mine {
		return
	}
	delete(w.running, key)
	state, effects := w.entries[entry].Release(w.now, id)
	w.take(entry, state, effects)
}

// answer ends one waiting store call in one of the ways that a store can.
func (w *world) answer() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = append(w.calls[:i], w.calls[i+1:]...)
	switch eff := c.effect.(type) {
	case event.ReadDocument:
		ev := event.DocumentRead{At: event.At(w.now), Key: eff.Key, Failed: w.down}
		if !w.down {
			ev.Version, ev.Value = w.store.version[eff.Key], w.store.value[eff.Key]
		}
		state, effects := w.entries[c.entry].Handle(ev)
		w.take(c.entry, state, effects)
	case event.WriteDocument:
		w.answerWrite(c.entry, eff)
	}
}

func (w *world) answerWrite(entry int, eff event.WriteDocument) {
	ev := event.DocumentWritten{At: event.At(w.now), Key: eff.Key, Nonce: eff.Nonce}
	switch fate := rapid.SampledFrom([]string{"answered", "answered", "answer lost", "late", "lost"}).Draw(w.t, "fate"); {
	case fate == "lost" || w.down && fate == "answered":
		ev.Result = event.WriteUnknown
	case fate == "late":
		ev.Result = event.WriteUnknown
		w.late = append(w.late, eff)
	default:
		ev.Result, ev.Version = w.apply(eff)
		if fate == "answer lost" {
			ev.Result = event.WriteUnknown
		}
	}
	if *unsafeUnknown && ev.Result == event.WriteUnknown {
		ev.Result = event.WriteDone
	}
	state, effects := w.entries[entry].Handle(ev)
	w.take(entry, state, effects)
}

func (w *world) apply(eff event.WriteDocument) (event.WriteResult, uint64) {
	if w.store.version[eff.Key] != eff.ExpectedVersion {
		return event.WriteConflict, 0
	}
	w.store.version[eff.Key]++
	w.store.value[eff.Key] = eff.Value

	return event.WriteDone, w.store.version[eff.Key]
}

// Guards against two requests of one key being granted the claim while answers
// are lost, writes take effect late, the store is down and entries race.
func TestClaimIsGrantedOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		keys := []string{"1764800000-aaaaaaaaaaaaaaaa", "1764800000-bbbbbbbbbbbbbbbb", "1764803600-cccccccccccccccc"}
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			entry := rapid.IntRange(0, 2).Draw(t, "entry")
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.SampledFrom([]string{"claim", "answer", "answer", "answer", "release", "late", "store", "tick"}).Draw(t, "step") {
			case "claim":
				w.claim(entry, key)
			case "answer":
				w.answer()
			case "release":
				w.release(entry, key)
			case "late":
				if len(w.late) > 0 {
					w.apply(w.late[0])
					w.late = w.late[1:]
				}
			case "store":
				w.down = !w.down
			case "tick":
				w.now += 6 * time.Second
				state, effects := w.entries[entry].Handle(event.Tick{At: event.At(w.now)})
				w.take(entry, state, effects)
			}
		}
		w.down = false
		for range 1000 {
			if len(w.calls) == 0 {
				break
			}
			w.answer()
		}
		for id := range w.keyOf {
			require.True(t, w.ended[id], "claim of request %d never ends", id)
		}
	})
}

// Guards against accepting keys without a usable time of issue.
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

// Guards against a page of a past hour that would hide or keep old claims.
func TestPageOfEarlierHourIsEmpty(t *testing.T) {
	t.Parallel()
	old := page{Hour: 10, Claims: map[string]claim{"k": {VM: "a"}}}
	value, err := old.encode()
	require.NoError(t, err)
	next, err := decodePage(value, 82)
	require.NoError(t, err)
	require.Empty(t, next.Claims)
	same, err := decodePage(value, 10)
	require.NoError(t, err)
	require.Len(t, same.Claims, 1)
}
