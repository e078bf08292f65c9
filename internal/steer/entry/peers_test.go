package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// group runs entry VMs of one region with a store and with messages that arrive
// at once unless the network is cut.
type group struct {
	t        *testing.T
	now      time.Duration
	cut      bool
	states   map[string]State
	names    []string
	lookup   map[string]map[string]peerpb.EntryState // what an entry published last, by VM
	store    map[string][]byte
	versions map[string]uint64
	waiting  []func()
}

func newGroup(t *testing.T, names ...string) *group {
	t.Helper()
	g := &group{
		t: t, names: names, states: map[string]State{}, lookup: map[string]map[string]peerpb.EntryState{},
		store: map[string][]byte{}, versions: map[string]uint64{},
	}
	list := event.VMsListed{Version: 1}
	for _, name := range names {
		list.VMs = append(list.VMs, event.VM{Name: name, Zone: "z1", PeerAddress: name + ":1"})
	}
	for i, name := range names {
		g.states[name] = New(Settings{
			Self: event.EntryView{
				Member: event.Member{VM: name, Incarnation: uint64(i + 1)}, Region: "r1", Zone: "z1", PeerAddress: name + ":1",
			},
			Seed: uint64(i), ListLag: 30 * time.Second, LookupTTL: time.Second, StartedUnixMS: 1,
		})
		g.take(name, list)
	}
	g.configure(1, 2)

	return g
}

// configure puts a configuration with one backend server in force.
func (g *group) configure(version uint64, slots int) {
	config := model.Config{
		Version:  version,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"svc": {Name: "svc"}},
	}
	config = config.WithBackend(model.Backend{Name: "b", Service: "svc", Zone: "z1", Slots: slots})
	for _, name := range g.names {
		g.take(name, event.ConfigInForce{At: event.At(g.now), Config: &config})
	}
}

func (g *group) take(name string, ev event.Event) {
	state, effects := Reduce(g.states[name], ev)
	g.states[name] = state
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.ReadDocument:
			g.waiting = append(g.waiting, func() {
				g.take(name, event.DocumentRead{At: event.At(g.now), Key: e.Key, Version: g.versions[e.Key], Value: g.store[e.Key]})
			})
		case event.WriteDocument:
			g.waiting = append(g.waiting, func() { g.write(name, e) })
		case event.SendToPeer:
			g.waiting = append(g.waiting, func() { g.send(name, e) })
		case event.MembersPublished:
			g.lookup[name] = map[string]peerpb.EntryState{}
			for _, v := range e.Entries {
				g.lookup[name][v.Member.VM] = v.State
			}
		case event.ReportViolation:
			g.t.Fatalf("invariant %s: %s", e.Name, e.Detail)
		}
	}
}

func (g *group) write(name string, e event.WriteDocument) {
	result := event.WriteConflict
	if g.versions[e.Key] == e.ExpectedVersion {
		g.versions[e.Key]++
		g.store[e.Key] = e.Value
		result = event.WriteDone
	}
	g.take(name, event.DocumentWritten{At: event.At(g.now), Key: e.Key, Nonce: e.Nonce, Result: result, Version: g.versions[e.Key]})
}

func (g *group) send(name string, e event.SendToPeer) {
	if !g.cut {
		from := g.states[name].settings.Self.Member
		g.take(e.To.VM, event.PeerContact{At: event.At(g.now), Peer: from, Reachable: true, TableDigests: e.TableDigests})
		for _, m := range e.Messages {
			g.take(e.To.VM, event.PeerMessage{At: event.At(g.now), From: from, Message: m})
		}
	}
	g.take(name, event.PeerContact{At: event.At(g.now), Peer: e.To, Reachable: !g.cut})
}

// run lets time pass until done, and reports whether that came about.
func (g *group) run(limit time.Duration, done func() bool) bool {
	for end := g.now + limit; g.now < end; {
		if done() {
			return true
		}
		g.now += 50 * time.Millisecond
		for _, name := range g.names {
			g.take(name, event.Tick{At: event.At(g.now)})
		}
		for len(g.waiting) > 0 {
			next := g.waiting[0]
			g.waiting = g.waiting[1:]
			next()
		}
	}

	return done()
}

func (g *group) held() int64 {
	sum := int64(0)
	for _, name := range g.names {
		for _, pool := range g.states[name].Status().Pools {
			sum += pool.Held
		}
	}

	return sum
}

// sees returns a condition on how e1 sees e2 in lookups.
func (g *group) sees(state peerpb.EntryState) func() bool {
	return func() bool { return g.lookup["e1"]["e2"] == state }
}

// Guards against an entry that is held down for flapping blocking the recount
// that gives out new capacity.
func TestHeldEntryDoesNotBlockRecount(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "e1", "e2")
	require.True(t, g.run(time.Minute, func() bool {
		return g.held() == 2 && g.sees(peerpb.EntryState_ENTRY_STATE_LIVE)()
	}))
	g.cut = true
	require.True(t, g.run(time.Minute, g.sees(peerpb.EntryState_ENTRY_STATE_UNREACHABLE)))
	g.cut = false
	reachable := func() bool {
		for _, v := range g.states["e1"].peer.All() {
			if v.Member.VM == "e2" {
				return v.State == peerpb.EntryState_ENTRY_STATE_LIVE
			}
		}

		return false
	}
	require.True(t, g.run(time.Minute, reachable))
	g.configure(2, 20)
	require.True(t, g.run(time.Minute, func() bool { return g.held() == 20 }))
	assert.Equal(t, peerpb.EntryState_ENTRY_STATE_UNREACHABLE, g.lookup["e1"]["e2"], "e2 is held down throughout")
}

// Guards against tables that stay different after a change whose messages were
// all lost: envelopes without digests leave them so.
func TestDigestsRepairTables(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "e1", "e2")
	g.run(time.Minute, func() bool { return false })
	require.True(t, g.sees(peerpb.EntryState_ENTRY_STATE_LIVE)())
	state := g.states["e2"]
	state.peer = state.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LEAVING)
	// All messages are lost while e2 passes on its record, and no failed send is
	// reported.
	for range 400 {
		g.now += 50 * time.Millisecond
		_, _ = Reduce(g.states["e2"], event.Tick{At: event.At(g.now)})
	}
	require.True(t, g.run(2*time.Minute, g.sees(peerpb.EntryState_ENTRY_STATE_LEAVING)))
}

// Guards against more or fewer than two watchers in an availability zone.
func TestTwoWatchersInAZone(t *testing.T) {
	t.Parallel()
	g := newGroup(t, "e1", "e2", "e3", "e4")
	watchers := func() int {
		n := 0
		for _, name := range g.names {
			if g.states[name].ZoneWatcher() {
				n++
			}
		}

		return n
	}
	require.True(t, g.run(time.Minute, func() bool { return watchers() == 2 }))
}
