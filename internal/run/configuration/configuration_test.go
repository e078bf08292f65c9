package configuration

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/config/folder"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

const baseFile = "regions:\n  north: {zones: [a, b]}\n  south: {zones: [c]}\n"

// world holds a few entries in three zones, the store and the operators. All of
// it runs in one goroutine: a call of one entry to the store is where others
// get their turn.
type world struct {
	t       *rapid.T
	store   *fakeStore
	timer   *instantTimer
	entries []*entryVM
	// busy marks entries that handle a change, by index; top is the last of them.
	busy   map[int]bool
	top    int
	serial int
	// sent holds every change by nonce with the last answer to it.
	sent  map[string]*sentChange
	order []string
	quiet bool
}

type entryVM struct {
	c    *Configuration
	zone string
}

type sentChange struct {
	change change.Change
	// results are all answers, "lost" when the entry died.
	results []change.Result
	version uint64
	// unrecorded is true when the record was in the memory of an entry that died.
	unrecorded bool
}

// died is the panic that stands for the death of an entry in a store call.
type died struct{ entry int }

func newWorld(t *rapid.T) *world {
	w := &world{t: t, busy: make(map[int]bool), sent: make(map[string]*sentChange)}
	w.store = &fakeStore{docs: make(map[string][]platform.Document), fault: w.fault}
	w.timer = &instantTimer{w: w}
	for i, zone := range []string{"a", "a", "b", "c"} {
		w.entries = append(w.entries, &entryVM{zone: zone})
		w.start(i)
	}

	return w
}

func (w *world) chance(what string, percent int) bool {
	return !w.quiet && rapid.IntRange(1, 100).Draw(w.t, what) > 100-percent
}

// start replaces the process of an entry VM by a new one without memory.
func (w *world) start(i int) {
	e := w.entries[i]
	if e.c != nil {
		for _, r := range e.c.pending {
			w.sent[r.Nonce].unrecorded = true
		}
	}
	last := uint64(0)
	e.c = New(Settings{
		Store: storeOf{w.store, i}, Peers: peersOf{w, i}, Timer: w.timer, Log: zap.NewNop(), Zone: e.zone,
		OnInForce: func(config model.Config) {
			require.Greater(w.t, config.Version, last, "a version went back")
			last = config.Version
		},
	})
}

func (w *world) fault(entry int, write bool) fault {
	if w.quiet {
		return faultNone
	}
	if len(w.store.late) > 0 && w.chance("late write takes effect", 50) {
		w.store.late[0]()
		w.store.late = w.store.late[1:]
	}
	if w.busy[entry] && len(w.busy) < 3 && w.chance("other operator", 8) {
		w.send(w.newChange())
	}
	// Only the innermost entry may die: the panic unwinds no other one's calls.
	if w.busy[entry] && w.top == entry && w.chance("entry dies", 1) {
		panic(died{entry})
	}
	if !w.chance("store fault", 25) {
		return faultNone
	}
	if !write {
		return rapid.SampledFrom([]fault{faultLostRequest, faultStaleRead, faultStaleRead}).Draw(w.t, "read fault")
	}

	return rapid.SampledFrom([]fault{faultLostRequest, faultLostResponse, faultLostResponse, faultLateEffect}).Draw(w.t, "write fault")
}

// paused lets the versions spread between entries while somebody waits.
func (w *world) paused(ctx context.Context) {
	if w.quiet || w.chance("gossip", 50) {
		w.gossip(ctx)
	}
}

func (w *world) gossip(ctx context.Context) {
	for to := range w.entries {
		for from := range w.entries {
			member := event.Member{VM: fmt.Sprint(from), Incarnation: uint64(from)}
			version := w.entries[from].c.Root().Version
			_ = w.entries[to].c.fetch(ctx, member, version)
		}
	}
}

func (w *world) newChange() change.Change {
	w.serial++
	c := change.Change{Author: "ana", Message: "test", Nonce: fmt.Sprintf("nonce-%010d", w.serial)}
	c.Base = w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "base of")].c.Root().Version
	if c.Base > 0 && w.chance("old base", 20) {
		c.Base--
	}
	name := rapid.SampledFrom([]string{"90-leaving-x.yaml", "90-leaving-y.yaml", "90-leaving-z.yaml"}).Draw(w.t, "file")
	content := fmt.Sprintf("leaving: {vm-%d: true}\n", w.serial)
	if w.chance("wrong content", 10) {
		content = "leaving: {vm: perhaps}\n"
	}
	c.Files = []folder.File{{Name: name, Content: []byte(content)}}
	if c.Base == 0 {
		c.Files = append(c.Files, folder.File{Name: "10-regions.yaml", Content: []byte(baseFile)})
	}

	return c
}

// send hands a change to an entry that is not busy.
func (w *world) send(c change.Change) {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	for w.busy[i] {
		i = (i + 1) % len(w.entries)
	}
	s := w.sent[c.Nonce]
	if s == nil {
		s = &sentChange{change: c}
		w.sent[c.Nonce] = s
		w.order = append(w.order, c.Nonce)
	}
	outer := w.top
	w.busy[i], w.top = true, i
	defer func() {
		delete(w.busy, i)
		w.top = outer
		if r := recover(); r != nil {
			if d, ok := r.(died); !ok || d.entry != i {
				panic(r)
			}
			s.results = append(s.results, "lost")
			s.unrecorded = true
			w.start(i)
		}
	}()
	out, err := w.entries[i].c.Apply(context.Background(), c)
	if err != nil {
		s.results = append(s.results, change.Refused)

		return
	}
	s.results = append(s.results, out.Result)
	if out.Result == change.Accepted {
		require.GreaterOrEqual(w.t, len(out.Zones), 2)
		require.True(w.t, s.version == 0 || s.version == out.Version, "one change made two versions")
		s.version = out.Version
	}
}

func (w *world) step() {
	if len(w.busy) > 0 {
		return
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0:
		w.store.down = !w.store.down
	case 1:
		w.start(rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "restart"))
	case 2:
		_ = w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "refresh")].c.refresh(context.Background())
	case 3:
		w.gossip(context.Background())
	case 4:
		if len(w.order) > 0 {
			w.resend(rapid.SampledFrom(w.order).Draw(w.t, "again"))
		}
	default:
		c := w.newChange()
		w.send(c)
		w.storeKilledAfter(c.Nonce)
	}
}

// resend repeats a change whose result the operator does not know.
func (w *world) resend(nonce string) {
	s := w.sent[nonce]
	if last := s.results[len(s.results)-1]; last == change.Unknown || last == "lost" || last == change.Accepted {
		w.send(s.change)
	}
}

// storeKilledAfter checks that an accepted version reaches all entries although
// the store is down from then on.
func (w *world) storeKilledAfter(nonce string) {
	s := w.sent[nonce]
	if s.version == 0 || !w.chance("store killed after acceptance", 30) {
		return
	}
	w.store.down = true
	for range 3 {
		w.gossip(context.Background())
	}
	for _, e := range w.entries {
		require.GreaterOrEqual(w.t, e.c.Root().Version, s.version)
	}
}

// finish heals everything and returns the accepted records, oldest first, and
// all records.
func (w *world) finish() (accepted, all []change.Record) {
	w.quiet = true
	w.store.down = false
	for _, late := range w.store.late {
		late()
	}
	ctx := context.Background()
	for _, e := range w.entries {
		_ = e.c.refresh(ctx)
		e.c.writePending(ctx)
		require.Empty(w.t, e.c.pending)
	}
	w.gossip(context.Background())
	e := w.entries[0].c
	require.NoError(w.t, e.flush(ctx, e.Root()))
	all, err := e.History(ctx, 1_000_000)
	require.NoError(w.t, err)
	for _, r := range all {
		if r.Result == change.Accepted {
			accepted = append(accepted, r)
		}
	}
	slices.SortFunc(accepted, func(a, b change.Record) int { return int(a.Version) - int(b.Version) })

	return accepted, all
}

func (w *world) check() {
	accepted, all := w.finish()
	files := make(map[string]string)
	versions := []map[string]string{{}}
	seen := make(map[string]uint64)
	for i, r := range accepted {
		require.Equal(w.t, uint64(i+1), r.Version, "versions are not consecutive in the trail")
		require.Zero(w.t, seen[r.Nonce], "change %s applied twice", r.Nonce)
		seen[r.Nonce] = r.Version
		for _, f := range w.sent[r.Nonce].change.Files {
			hash := change.HashOf(f.Content)
			was, is := versions[r.Base][f.Name], files[f.Name]
			require.True(w.t, was == is || is == hash, "version %d overwrote a change of %s", r.Version, f.Name)
			files[f.Name] = hash
		}
		next := make(map[string]string, len(files))
		for name, hash := range files {
			next[name] = hash
		}
		versions = append(versions, next)
	}
	for i, e := range w.entries {
		root := e.c.Root()
		require.Equal(w.t, uint64(len(accepted)), root.Version, "entry %d", i)
		require.Len(w.t, root.Parts, len(files))
		for name, hash := range files {
			require.Equal(w.t, hash, root.Hash(name), "a change of %s is lost", name)
		}
	}
	for nonce, s := range w.sent {
		w.checkAnswers(nonce, s, seen[nonce], all)
	}
}

// checkAnswers compares what operators were told with what happened.
func (w *world) checkAnswers(nonce string, s *sentChange, version uint64, all []change.Record) {
	require.True(w.t, s.version == 0 || s.version == version, "accepted change %s is lost", nonce)
	for _, result := range s.results {
		recorded := slices.ContainsFunc(all, func(r change.Record) bool { return r.Nonce == nonce && r.Result == result })
		switch result {
		case change.Conflict, change.Invalid, change.Refused:
			if len(s.results) == 1 {
				require.Zero(w.t, version, "refused change %s took effect", nonce)
			}
			require.True(w.t, recorded || s.unrecorded, "%s change %s is not in the trail", result, nonce)
		case change.Accepted:
			require.True(w.t, recorded || s.unrecorded, "%s change %s is not in the trail", result, nonce)
		case change.Unknown:
			require.True(w.t, recorded || s.unrecorded || version > 0, "unknown change %s is not in the trail", nonce)
		}
	}
}

// Guards against lost or doubled changes, versions that go back and gaps in the
// audit trail while the store fails, answers late or loses responses, operators
// collide, and entries die or start.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.step()
		}
		w.check()
	})
}

// Guards against a second effect of a change whose nonce the root has forgotten,
// and against accepted changes that are missing from the pages by then.
func TestForgottenNonce(t *testing.T) {
	t.Parallel()
	// The history is made once; each run gets a copy of the store.
	past := rapid.Custom(func(t *rapid.T) *world {
		w := newWorld(t)
		w.quiet = true
		for range 2*change.RecentRecords + 20 {
			w.send(w.newChange())
		}

		return w
	}).Example(1)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.serial = past.serial
		for key, docs := range past.store.docs {
			w.store.docs[key] = slices.Clone(docs)
		}
		for nonce, s := range past.sent {
			sent := *s
			w.sent[nonce] = &sent
		}
		first := w.sent[past.order[0]]
		for range 5 {
			w.send(first.change)
		}
		w.check()
		require.EqualValues(t, 1, first.version)
	})
}

// Guards against a root that drops an accepted change which is not on a page of
// the audit trail yet.
func TestAuditTrailUnwritable(t *testing.T) {
	t.Parallel()
	w := rapid.Custom(func(t *rapid.T) *world {
		w := newWorld(t)
		w.quiet, w.store.noAudit = true, true
		for range change.RecentRecords + 3 {
			w.send(w.newChange())
		}

		return w
	}).Example(1)
	refused := 0
	for _, s := range w.sent {
		if s.results[0] == change.Refused {
			refused++
		}
	}
	require.Equal(t, 3, refused)
	w.store.noAudit = false
	w.check()
}
