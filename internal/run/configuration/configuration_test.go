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

// simulation has four entry VMs in three zones, the store and the operators. All of it
// runs in one goroutine: while an entry VM calls the store or pauses, the other entry
// VMs and the operators act within that call or pause.
type simulation struct {
	t       *rapid.T
	store   *fakeStore
	timer   *instantTimer
	entries []*entryVM
	// applying holds the indexes of the entry VMs that apply a change; innermost is the
	// index of the entry VM that began last.
	applying  map[int]bool
	innermost int
	// lastSerial is the number in the nonce of the last change made.
	lastSerial int
	// sent holds every change with its answers, by nonce. nonces lists the nonces in
	// the order in which their changes were first sent.
	sent   map[string]*sentChange
	nonces []string
	// faultsOff is true while chance and fault return no faults.
	faultsOff bool
}

type entryVM struct {
	c    *Configuration
	zone string
}

type sentChange struct {
	change change.Change
	// results has an element for each time that the change was sent: the result, or
	// "lost" if the entry VM crashed.
	results []change.Result
	// version is the version that the change made; 0 while no answer has named it.
	version uint64
	// unrecorded is true if a record may have been lost with the memory of an entry
	// VM that crashed or was restarted.
	unrecorded bool
}

// entryCrash is the panic that simulates the crash of an entry VM in a store call.
type entryCrash struct{ entry int }

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, applying: make(map[int]bool), sent: make(map[string]*sentChange)}
	sim.store = &fakeStore{docs: make(map[string][]platform.Document), fault: sim.fault}
	sim.timer = &instantTimer{sim: sim}
	for i, zone := range []string{"a", "a", "b", "c"} {
		sim.entries = append(sim.entries, &entryVM{zone: zone})
		sim.restart(i)
	}

	return sim
}

// chance reports whether an event with a probability of percent happens; none does
// while faultsOff is set.
func (sim *simulation) chance(what string, percent int) bool {
	return !sim.faultsOff && rapid.IntRange(1, 100).Draw(sim.t, what) > 100-percent
}

// restart starts or restarts the process of an entry VM, which loses its memory.
func (sim *simulation) restart(i int) {
	e := sim.entries[i]
	if e.c != nil {
		for _, r := range e.c.pendingRecords {
			sim.sent[r.Nonce].unrecorded = true
		}
	}
	last := uint64(0)
	e.c = New(Settings{
		Store: entryStore{sim.store, i}, Peers: entryPeers{sim, i}, Timer: sim.timer, Log: zap.NewNop(), Zone: e.zone,
		OnInForce: func(config model.Config) {
			require.Greater(sim.t, config.Version, last, "a version went back")
			last = config.Version
		},
	})
}

// fault draws the fault of an entry VM's next store call. Before the call a late write
// may take effect, another operator may send a change, or the entry VM may crash.
func (sim *simulation) fault(entry int, write bool) fault {
	if sim.faultsOff {
		return faultNone
	}
	if len(sim.store.late) > 0 && sim.chance("late write takes effect", 50) {
		sim.store.late[0]()
		sim.store.late = sim.store.late[1:]
	}
	if sim.applying[entry] && len(sim.applying) < 3 && sim.chance("other operator", 8) {
		sim.send(sim.newChange())
	}
	// Only the innermost entry VM may crash: the panic of an outer one would also
	// unwind the calls of the entry VMs within it.
	if sim.applying[entry] && sim.innermost == entry && sim.chance("entry VM crashes", 1) {
		panic(entryCrash{entry})
	}
	if !sim.chance("store fault", 25) {
		return faultNone
	}
	if !write {
		return rapid.SampledFrom([]fault{faultLostRequest, faultStaleRead, faultStaleRead}).Draw(sim.t, "read fault")
	}

	return rapid.SampledFrom([]fault{faultLostRequest, faultLostResponse, faultLostResponse, faultLateEffect}).Draw(sim.t, "write fault")
}

// onPause may spread versions between entry VMs while one of them waits.
func (sim *simulation) onPause(ctx context.Context) {
	if sim.faultsOff || sim.chance("gossip", 50) {
		sim.gossip(ctx)
	}
}

// gossip lets each entry VM fetch newer versions from each other one.
func (sim *simulation) gossip(ctx context.Context) {
	for to := range sim.entries {
		for from := range sim.entries {
			member := event.Member{VM: fmt.Sprint(from), Incarnation: uint64(from)}
			version := sim.entries[from].c.Root().Version
			_ = sim.entries[to].c.adoptFromPeer(ctx, member, version)
		}
	}
}

// newChange draws a change, which may have an old base or invalid content.
func (sim *simulation) newChange() change.Change {
	sim.lastSerial++
	c := change.Change{Author: "ana", Message: "test", Nonce: fmt.Sprintf("nonce-%010d", sim.lastSerial)}
	c.Base = sim.entries[rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "base of")].c.Root().Version
	if c.Base > 0 && sim.chance("old base", 20) {
		c.Base--
	}
	name := rapid.SampledFrom([]string{"90-leaving-x.yaml", "90-leaving-y.yaml", "90-leaving-z.yaml"}).Draw(sim.t, "file")
	content := fmt.Sprintf("leaving: {vm-%d: true}\n", sim.lastSerial)
	if sim.chance("wrong content", 10) {
		content = "leaving: {vm: perhaps}\n"
	}
	c.Files = []folder.File{{Name: name, Content: []byte(content)}}
	if c.Base == 0 {
		c.Files = append(c.Files, folder.File{Name: "10-regions.yaml", Content: []byte(baseFile)})
	}

	return c
}

// send sends a change to an entry VM that is applying no other change, and notes the
// answer.
func (sim *simulation) send(c change.Change) {
	i := rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "entry")
	for sim.applying[i] {
		i = (i + 1) % len(sim.entries)
	}
	s := sim.sent[c.Nonce]
	if s == nil {
		s = &sentChange{change: c}
		sim.sent[c.Nonce] = s
		sim.nonces = append(sim.nonces, c.Nonce)
	}
	outer := sim.innermost
	sim.applying[i], sim.innermost = true, i
	defer func() {
		delete(sim.applying, i)
		sim.innermost = outer
		if r := recover(); r != nil {
			if crash, ok := r.(entryCrash); !ok || crash.entry != i {
				panic(r)
			}
			s.results = append(s.results, "lost")
			s.unrecorded = true
			sim.restart(i)
		}
	}()
	out, err := sim.entries[i].c.Apply(context.Background(), c)
	if err != nil {
		s.results = append(s.results, change.Refused)

		return
	}
	s.results = append(s.results, out.Result)
	if out.Result == change.Accepted {
		require.GreaterOrEqual(sim.t, len(out.Zones), 2)
		require.True(sim.t, s.version == 0 || s.version == out.Version, "one change made two versions")
		s.version = out.Version
	}
}

// step draws one event: the store fails or recovers, an entry VM restarts, reads
// the store, gossips, or gets a change.
func (sim *simulation) step() {
	if len(sim.applying) > 0 {
		return
	}
	switch rapid.IntRange(0, 9).Draw(sim.t, "step") {
	case 0:
		sim.store.down = !sim.store.down
	case 1:
		sim.restart(rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "restart"))
	case 2:
		_ = sim.entries[rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "refresh")].c.adoptFromStore(context.Background())
	case 3:
		sim.gossip(context.Background())
	case 4:
		if len(sim.nonces) > 0 {
			sim.sendAgain(rapid.SampledFrom(sim.nonces).Draw(sim.t, "again"))
		}
	default:
		c := sim.newChange()
		sim.send(c)
		sim.checkSpreadWithoutStore(c.Nonce)
	}
}

// sendAgain repeats a change that was accepted, or whose result the operator does
// not know.
func (sim *simulation) sendAgain(nonce string) {
	s := sim.sent[nonce]
	if last := s.results[len(s.results)-1]; last == change.Unknown || last == "lost" || last == change.Accepted {
		sim.send(s.change)
	}
}

// checkSpreadWithoutStore may take the store down after a change was accepted, and
// checks that its version still reaches all entry VMs.
func (sim *simulation) checkSpreadWithoutStore(nonce string) {
	s := sim.sent[nonce]
	if s.version == 0 || !sim.chance("store down after acceptance", 30) {
		return
	}
	sim.store.down = true
	for range 3 {
		sim.gossip(context.Background())
	}
	for _, e := range sim.entries {
		require.GreaterOrEqual(sim.t, e.c.Root().Version, s.version)
	}
}

// settle ends all faults, lets every entry VM catch up and returns the accepted
// records, oldest first, and all records.
func (sim *simulation) settle() (accepted, all []change.Record) {
	sim.faultsOff = true
	sim.store.down = false
	for _, late := range sim.store.late {
		late()
	}
	ctx := context.Background()
	for _, e := range sim.entries {
		_ = e.c.adoptFromStore(ctx)
		e.c.writePendingRecords(ctx)
		require.Empty(sim.t, e.c.pendingRecords)
	}
	sim.gossip(context.Background())
	e := sim.entries[0].c
	require.NoError(sim.t, e.auditAccepted(ctx, e.Root()))
	all, err := e.History(ctx, 1_000_000)
	require.NoError(sim.t, err)
	for _, r := range all {
		if r.Result == change.Accepted {
			accepted = append(accepted, r)
		}
	}
	slices.SortFunc(accepted, func(a, b change.Record) int { return int(a.Version) - int(b.Version) })

	return accepted, all
}

// check compares the audit trail, the versions in force and the answers to the changes.
func (sim *simulation) check() {
	accepted, all := sim.settle()
	files := make(map[string]string)
	versions := []map[string]string{{}}
	versionOf := make(map[string]uint64)
	for i, r := range accepted {
		require.Equal(sim.t, uint64(i+1), r.Version, "versions are not consecutive in the trail")
		require.Zero(sim.t, versionOf[r.Nonce], "change %s applied twice", r.Nonce)
		versionOf[r.Nonce] = r.Version
		for _, f := range sim.sent[r.Nonce].change.Files {
			hash := change.HashOf(f.Content)
			baseHash, currentHash := versions[r.Base][f.Name], files[f.Name]
			require.True(sim.t, baseHash == currentHash || currentHash == hash, "version %d overwrote a change of %s", r.Version, f.Name)
			files[f.Name] = hash
		}
		next := make(map[string]string, len(files))
		for name, hash := range files {
			next[name] = hash
		}
		versions = append(versions, next)
	}
	for i, e := range sim.entries {
		root := e.c.Root()
		require.Equal(sim.t, uint64(len(accepted)), root.Version, "entry %d", i)
		require.Len(sim.t, root.Parts, len(files))
		for name, hash := range files {
			require.Equal(sim.t, hash, root.Hash(name), "a change of %s is lost", name)
		}
	}
	for nonce, s := range sim.sent {
		sim.checkAnswers(nonce, s, versionOf[nonce], all)
	}
}

// checkAnswers compares the answers to a change with the audit records and with
// version, the version that the change made, or 0 if it made none.
func (sim *simulation) checkAnswers(nonce string, s *sentChange, version uint64, all []change.Record) {
	require.True(sim.t, s.version == 0 || s.version == version, "accepted change %s is lost", nonce)
	for _, result := range s.results {
		recorded := slices.ContainsFunc(all, func(r change.Record) bool { return r.Nonce == nonce && r.Result == result })
		switch result {
		case change.Conflict, change.Invalid, change.Refused:
			if len(s.results) == 1 {
				require.Zero(sim.t, version, "refused change %s took effect", nonce)
			}
			require.True(sim.t, recorded || s.unrecorded, "%s change %s is not in the trail", result, nonce)
		case change.Accepted:
			require.True(sim.t, recorded || s.unrecorded, "%s change %s is not in the trail", result, nonce)
		case change.Unknown:
			require.True(sim.t, recorded || s.unrecorded || version > 0, "unknown change %s is not in the trail", nonce)
		}
	}
}

// Guards against changes that are lost or applied twice, versions that go back, and
// gaps in the audit trail. The store fails, returns stale documents, loses responses
// and applies writes late; operators change the same files, and entry VMs crash and
// restart.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			sim.step()
		}
		sim.check()
	})
}

// Guards against applying a change again after the root has dropped the record with
// its nonce, and against dropped records that are missing in the audit trail.
func TestForgottenNonce(t *testing.T) {
	t.Parallel()
	// past is simulated once; each run starts from a copy of its store.
	past := rapid.Custom(func(t *rapid.T) *simulation {
		sim := newSimulation(t)
		sim.faultsOff = true
		for range 2*change.RecentRecords + 20 {
			sim.send(sim.newChange())
		}

		return sim
	}).Example(1)
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.lastSerial = past.lastSerial
		for key, docs := range past.store.docs {
			sim.store.docs[key] = slices.Clone(docs)
		}
		for nonce, s := range past.sent {
			sent := *s
			sim.sent[nonce] = &sent
		}
		first := sim.sent[past.nonces[0]]
		for range 5 {
			sim.send(first.change)
		}
		sim.check()
		require.EqualValues(t, 1, first.version)
	})
}

// Guards against a root that drops the record of an accepted change before the record
// is in the audit trail. During the changes, the store refuses writes of the trail.
func TestAuditTrailUnwritable(t *testing.T) {
	t.Parallel()
	sim := rapid.Custom(func(t *rapid.T) *simulation {
		sim := newSimulation(t)
		sim.faultsOff, sim.store.auditRefused = true, true
		for range change.RecentRecords + 3 {
			sim.send(sim.newChange())
		}

		return sim
	}).Example(1)
	refused := 0
	for _, s := range sim.sent {
		if s.results[0] == change.Refused {
			refused++
		}
	}
	require.Equal(t, 3, refused)
	sim.store.auditRefused = false
	sim.check()
}
