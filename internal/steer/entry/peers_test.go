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

// cluster runs entry VMs of one region with a store. Messages arrive right after
// the next ticks, unless the network is partitioned.
type cluster struct {
	t   *testing.T
	now time.Duration
	// While partitioned is true, every message between entries is lost and its sender
	// is told so.
	partitioned bool
	states      map[string]State // by VM
	names       []string
	// published holds the list that each entry published last: the states of the listed
	// entries, by VM of the publisher and VM of the listed entry.
	published map[string]map[string]peerpb.EntryState
	store     map[string][]byte
	versions  map[string]uint64
	// pending are effects that are executed after the next ticks.
	pending []func()
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, names: names, states: map[string]State{}, published: map[string]map[string]peerpb.EntryState{},
		store: map[string][]byte{}, versions: map[string]uint64{},
	}
	list := event.VMsListed{Version: 1}
	for _, name := range names {
		list.VMs = append(list.VMs, event.VM{Name: name, Zone: "z1", PeerAddress: name + ":1"})
	}
	for i, name := range names {
		c.states[name] = New(Settings{
			Self: event.EntryView{
				Member: event.Member{VM: name, Incarnation: uint64(i + 1)}, Region: "r1", Zone: "z1", PeerAddress: name + ":1",
			},
			Seed: uint64(i), ListLag: 30 * time.Second, LookupTTL: time.Second, StartedUnixMS: 1,
		})
		c.reduce(name, list)
	}
	c.configure(1, 2)

	return c
}

// configure puts a configuration with one backend server in force.
func (c *cluster) configure(version uint64, slots int) {
	config := model.Config{
		Version:  version,
		Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
		Services: map[string]model.Service{"svc": {Name: "svc"}},
	}
	config = config.WithBackend(model.Backend{Name: "b", Service: "svc", Zone: "z1", Slots: slots})
	for _, name := range c.names {
		c.reduce(name, event.ConfigInForce{At: event.At(c.now), Config: &config})
	}
}

// reduce applies an event to an entry and executes the effects or adds them to
// pending.
func (c *cluster) reduce(name string, ev event.Event) {
	state, effects := Reduce(c.states[name], ev)
	c.states[name] = state
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.ReadDocument:
			c.pending = append(c.pending, func() {
				c.reduce(name, event.DocumentRead{At: event.At(c.now), Key: e.Key, Version: c.versions[e.Key], Value: c.store[e.Key]})
			})
		case event.WriteDocument:
			c.pending = append(c.pending, func() { c.write(name, e) })
		case event.SendToPeer:
			c.pending = append(c.pending, func() { c.send(name, e) })
		case event.PublishEntries:
			c.published[name] = map[string]peerpb.EntryState{}
			for _, v := range e.Entries {
				c.published[name][v.Member.VM] = v.State
			}
		case event.ReportViolation:
			c.t.Fatalf("invariant %s: %s", e.Name, e.Detail)
		}
	}
}

func (c *cluster) write(name string, e event.WriteDocument) {
	result := event.WriteConflict
	if c.versions[e.Key] == e.ExpectedVersion {
		c.versions[e.Key]++
		c.store[e.Key] = e.Value
		result = event.WriteDone
	}
	c.reduce(name, event.DocumentWritten{At: event.At(c.now), Key: e.Key, Nonce: e.Nonce, Result: result, Version: c.versions[e.Key]})
}

func (c *cluster) send(name string, e event.SendToPeer) {
	if !c.partitioned {
		from := c.states[name].settings.Self.Member
		c.reduce(e.To.VM, event.PeerContact{At: event.At(c.now), Peer: from, Reachable: true, TableDigests: e.TableDigests})
		for _, m := range e.Messages {
			c.reduce(e.To.VM, event.PeerMessage{At: event.At(c.now), From: from, Message: m})
		}
	}
	c.reduce(name, event.PeerContact{At: event.At(c.now), Peer: e.To, Reachable: !c.partitioned})
}

// runUntil lets time pass until done returns true or the time limit is over. It reports
// whether done returned true.
func (c *cluster) runUntil(limit time.Duration, done func() bool) bool {
	for end := c.now + limit; c.now < end; {
		if done() {
			return true
		}
		c.now += 50 * time.Millisecond
		for _, name := range c.names {
			c.reduce(name, event.Tick{At: event.At(c.now)})
		}
		for len(c.pending) > 0 {
			next := c.pending[0]
			c.pending = c.pending[1:]
			next()
		}
	}

	return done()
}

// heldTokens returns how many tokens of the backend server all entries hold together.
func (c *cluster) heldTokens() int64 {
	sum := int64(0)
	for _, name := range c.names {
		for _, pool := range c.states[name].Status().Pools {
			sum += pool.Held
		}
	}

	return sum
}

// e1Publishes returns a condition for runUntil. It is true when the list that e1
// published last shows e2 in the given state.
func (c *cluster) e1Publishes(state peerpb.EntryState) func() bool {
	return func() bool { return c.published["e1"]["e2"] == state }
}

// Guards against a recount of the tokens (see package region) that never ends after an
// entry flapped. The entry can be reached again but is held down: for some time, the
// published list still shows it as unreachable. New capacity is given out only by a
// recount.
func TestHeldDownEntryDoesNotBlockRecount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "e1", "e2")
	require.True(t, c.runUntil(time.Minute, func() bool {
		return c.heldTokens() == 2 && c.e1Publishes(peerpb.EntryState_ENTRY_STATE_LIVE)()
	}))
	c.partitioned = true
	require.True(t, c.runUntil(time.Minute, c.e1Publishes(peerpb.EntryState_ENTRY_STATE_UNREACHABLE)))
	c.partitioned = false
	reachable := func() bool {
		for _, v := range c.states["e1"].peer.AllEntries() {
			if v.Member.VM == "e2" {
				return v.State == peerpb.EntryState_ENTRY_STATE_LIVE
			}
		}

		return false
	}
	require.True(t, c.runUntil(time.Minute, reachable))
	c.configure(2, 20)
	require.True(t, c.runUntil(time.Minute, func() bool { return c.heldTokens() == 20 }))
	assert.Equal(t, peerpb.EntryState_ENTRY_STATE_UNREACHABLE, c.published["e1"]["e2"], "e2 is still held down")
}

// Guards against tables of entry VMs that stay different after all messages about a
// change were lost. Only the digests in envelopes show the difference.
func TestDigestsRepairTables(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "e1", "e2")
	c.runUntil(time.Minute, func() bool { return false })
	require.True(t, c.e1Publishes(peerpb.EntryState_ENTRY_STATE_LIVE)())
	state := c.states["e2"]
	state.peer = state.peer.WithOwnState(peerpb.EntryState_ENTRY_STATE_LEAVING)
	// All messages with the new record of e2 are lost, and e2 does not learn that the
	// sends failed.
	for range 400 {
		c.now += 50 * time.Millisecond
		_, _ = Reduce(c.states["e2"], event.Tick{At: event.At(c.now)})
	}
	require.True(t, c.runUntil(2*time.Minute, c.e1Publishes(peerpb.EntryState_ENTRY_STATE_LEAVING)))
}

// Guards against an availability zone in which more or fewer than two entries watch the
// store and the list of VMs.
func TestTwoWatchersInAZone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "e1", "e2", "e3", "e4")
	watchers := func() int {
		n := 0
		for _, name := range c.names {
			if c.states[name].ZoneWatcher() {
				n++
			}
		}

		return n
	}
	require.True(t, c.runUntil(time.Minute, func() bool { return watchers() == 2 }))
}
