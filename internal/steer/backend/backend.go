// Package backend chooses a backend server for each request among the servers of
// the entry's region; the program "greengagetally entry" uses it. For each server
// it keeps what the choice depends on: attempts in flight, latency relative to the
// service's median, failures, leaving marks, probes and load reports.
//
// A token allows one attempt in flight at a server. A straggler is a server whose
// latency is several times the median; requests avoid stragglers. A cold server,
// such as a new one, ramps up: the part of its tokens that may be used rises
// gradually. A request is long work when its class is longer than the class of its
// service, or when it has run for longer than LongAfter. While short work is
// present, the part of the tokens that long work may use is limited.
package backend

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// Settings are fixed for the life of a process.
type Settings struct {
	// Self identifies this process of the entry VM.
	Self   event.Member
	Region string
	// Zone is the availability zone of the entry VM.
	Zone string
	// Seed is the first half of the seed of the random choices. The second half is
	// a constant: the bytes of "backend".
	Seed uint64
	// Policy is the rule of the choice: "" compares attempts in flight and latency;
	// "round-robin", "least-in-flight" and "two-choices" are baselines for
	// experiments.
	Policy string
}

// State is the part of the reducer that holds the backend servers of the entry's
// region. Its methods change the data in place, so only the State that was
// returned last may be used.
type State struct {
	*serverTable
}

// serverTable holds the data behind a State.
type serverTable struct {
	settings Settings
	pick     pickFunc
	random   *rand.Rand
	// configured is false until the first configuration. The backend servers of the
	// first configuration are presumed warm; servers added later start cold.
	configured bool
	servers    map[string]*server // by name
	// ordered holds the servers sorted by name, so that every run visits them in
	// the same order.
	ordered []*server
	// removed holds, by name, the servers that are no longer in the configuration
	// but still have attempts in flight.
	removed  map[string]*server
	services map[string]*service // by name
	attempts map[event.AttemptID]*runningAttempt
	// listedLeaving holds the names that the platform's list of VMs marks as
	// leaving.
	listedLeaving map[string]bool
	// peers holds the other live entry VMs of this entry's availability zone.
	peers []event.EntryView
	// candidateBuffer is reused by each call of candidates.
	candidateBuffer []*server
	// nextProbe is the earliest time at which a probe may be due.
	nextProbe time.Duration
}

// New returns a state without backend servers.
func New(settings Settings) State {
	return State{&serverTable{
		settings: settings,
		pick:     pickFuncOf(settings.Policy),
		random:   rand.New(rand.NewPCG(settings.Seed, 0x6261636b656e64)),
		servers:  make(map[string]*server),
		removed:  make(map[string]*server),
		services: make(map[string]*service),
		attempts: make(map[event.AttemptID]*runningAttempt),
	}}
}

// Handle applies an event and returns what the runtime must do. Events that do
// not concern backend servers are ignored.
func (s State) Handle(ev event.Event) (State, []event.Effect) {
	switch e := ev.(type) {
	case event.HeaderReceived:
		s.header(e)
	case event.AttemptEnded:
		s.attemptEnded(e)
	case event.ConfigInForce:
		s.configure(e.Time(), e.Config)
	case event.VMsListed:
		s.list(e)
	case event.ProbeEnded:
		return s, s.probeEnded(e)
	case event.LoadReported:
		return s, s.loadReported(e)
	case event.PeerMessage:
		if reports := e.Message.GetBackendReports(); reports != nil {
			s.backendReportsReceived(e.Time(), reports)
		}
	case event.Tick:
		return s, s.startProbes(e.Time())
	}

	return s, nil
}

// WithEntries sets the known entry VMs. It keeps only the other live entry VMs of this
// entry's availability zone, with which this entry shares probes and load reports.
func (s State) WithEntries(entries []event.EntryView) State {
	s.peers = s.peers[:0:0]
	for _, e := range entries {
		sameZone := e.Region == s.settings.Region && e.Zone == s.settings.Zone
		if sameZone && e.Member.VM != s.settings.Self.VM && e.State == peerpb.EntryState_ENTRY_STATE_LIVE {
			s.peers = append(s.peers, e)
		}
	}
	s.assignProbes()

	return s
}

// configure takes over the backend servers and services of a configuration. A
// service that stays keeps its data. A server that stays keeps its data unless it
// moved to another service.
func (t *serverTable) configure(now time.Duration, config *model.Config) {
	previous := t.servers
	for name, s := range previous {
		if s.inFlight > 0 {
			t.removed[name] = s
		}
	}
	t.servers = make(map[string]*server, len(config.Backends))
	t.ordered = t.ordered[:0]
	for name, b := range config.Backends {
		if config.RegionOfZone(b.Zone) != t.settings.Region {
			continue
		}
		current, ok := previous[name]
		if !ok {
			// The server may have been removed and added again while its attempts were
			// in flight.
			current, ok = t.removed[name]
		}
		delete(t.removed, name)
		if !ok || current.service != b.Service {
			current = newServer(now, b)
			current.cold = t.configured
			current.nextProbe = now + time.Duration(t.random.Int64N(int64(probeInterval)))
		}
		current.slots = b.Slots
		current.marks.config = config.Leaving.Has(name)
		current.marks.list = t.listedLeaving[name]
		t.servers[name] = current
		t.ordered = append(t.ordered, current)
	}
	slices.SortFunc(t.ordered, func(a, b *server) int { return strings.Compare(a.name, b.name) })
	t.configureServices(config)
	t.configured = true
	t.assignProbes()
}

func (t *serverTable) configureServices(config *model.Config) {
	previous := t.services
	t.services = make(map[string]*service, len(config.Services))
	for name, declared := range config.Services {
		current, ok := previous[name]
		if !ok {
			current = newService()
		}
		current.class = declared.Class
		current.servers = current.servers[:0]
		t.services[name] = current
	}
	for _, s := range t.ordered {
		if svc, ok := t.services[s.service]; ok {
			svc.servers = append(svc.servers, s)
		}
	}
}

// list sets marks.list of each server from the platform's list of VMs.
func (t *serverTable) list(e event.VMsListed) {
	t.listedLeaving = make(map[string]bool)
	for _, vm := range e.VMs {
		if vm.Leaving {
			t.listedLeaving[vm.Name] = true
		}
	}
	for _, s := range t.ordered {
		s.marks.list = t.listedLeaving[s.name]
	}
}

// Leaving returns the names of the backend servers that are marked as leaving.
func (s State) Leaving() []string {
	var out []string
	for _, b := range s.ordered {
		if b.marks.any() {
			out = append(out, b.name)
		}
	}

	return out
}

// IsLeaving reports whether a backend server is unknown or marked as leaving.
func (s State) IsLeaving(backend string) bool {
	b, ok := s.servers[backend]

	return !ok || b.marks.any()
}

// Stragglers returns the names of the backend servers that are stragglers now.
func (s State) Stragglers(now time.Duration) []string {
	var out []string
	for _, b := range s.ordered {
		if svc := s.services[b.service]; svc != nil && svc.isStraggler(now, b) {
			out = append(out, b.name)
		}
	}

	return out
}

// InFlight returns the number of attempts in flight at a backend server.
func (s State) InFlight(backend string) int {
	if b, ok := s.servers[backend]; ok {
		return b.inFlight
	}

	return 0
}

// Names returns the sorted names of the backend servers of the entry's region.
func (s State) Names() []string {
	out := make([]string, 0, len(s.ordered))
	for _, b := range s.ordered {
		out = append(out, b.name)
	}

	return out
}
