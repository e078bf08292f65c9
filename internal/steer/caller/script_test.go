package caller

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/backend"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// TestScripts runs the request scripts; each guards against the failure that
// the script's first comment names.
func TestScripts(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			return s.run(t, d)
		})
	})
}

// script is one entry VM of region r1 with the neighbours that a script sets.
type script struct {
	config   model.Config
	backends backend.State
	state    State
	slots    map[string]int
	used     map[string]int
	serving  string
	entries  []event.EntryView
	stale    bool
	now      time.Duration
	wanted   []string
}

var self = event.Member{VM: "e1", Incarnation: 1}

func newScript() *script {
	s := &script{
		config: model.Config{
			Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
			Services: map[string]model.Service{"svc": {Name: "svc", Deadline: 10 * time.Second}},
			Backends: map[string]model.Backend{},
		},
		backends: backend.New(backend.Settings{Self: self, Region: "r1", Zone: "z1", Seed: 1}),
		slots:    map[string]int{}, used: map[string]int{}, serving: "r1",
	}
	s.state = New(Settings{Self: self, Region: "r1", Zone: "z1", Seed: 1, LookupTTL: 10 * time.Second, StartedUnixMS: 1_000_000_000}, s)

	return s
}

func (s *script) Backends() backend.State                   { return s.backends }
func (s *script) Tokens() backend.Tokens                    { return s }
func (s *script) Free(name string) int                      { return s.slots["backend/"+name] - s.used[name] }
func (s *script) Held(pool string) int64                    { return int64(s.slots[pool]) }
func (s *script) ReleaseToken(name string)                  { s.used[name]-- }
func (s *script) Stale(time.Duration) bool                  { return s.stale }
func (s *script) Finish(event.RequestID)                    {}
func (s *script) RequestTokens(b []string, _ time.Duration) { s.wanted = b }

func (s *script) Sent(string, string, time.Duration) {}

func (s *script) AcquireToken(name string) bool {
	if s.Free(name) < 1 {
		return false
	}
	s.used[name]++

	return true
}

func (s *script) Region(_, _ string, _ time.Duration) (string, bool) {
	return s.serving, s.serving != ""
}

func (s *script) Entries(region string) []event.EntryView {
	var out []event.EntryView
	for _, e := range s.entries {
		if region == "" || e.Region == region {
			out = append(out, e)
		}
	}

	return out
}

var results = map[string]event.Result{
	"complete": event.ResultComplete, "not-sent": event.ResultNotSent, "refused": event.ResultRefused,
	"broken": event.ResultBroken, "truncated": event.ResultTruncated, "timeout": event.ResultTimeout,
	"canceled": event.ResultCanceled,
}

var claims = map[string]event.ClaimResult{
	"granted": event.ClaimGranted, "duplicate": event.ClaimDuplicate, "unavailable": event.ClaimUnavailable,
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if at := text(d, "at", ""); at != "" {
		now, err := time.ParseDuration(at)
		require.NoError(t, err)
		s.now = now
	}
	at := event.At(s.now)
	id, attempt := event.RequestID(number(t, d, "id", 0)), event.AttemptID(number(t, d, "attempt", 0))
	switch d.Cmd {
	case "backends":
		return s.setBackends(t, d)
	case "leaving":
		s.config = s.config.WithLeaving(text(d, "name", ""))

		return s.handle(event.ConfigInForce{At: at, Config: &s.config})
	case "entries":
		for _, name := range strings.Fields(d.Input) {
			vm, region, _ := strings.Cut(name, "/")
			s.entries = append(s.entries, event.EntryView{
				Member: event.Member{VM: vm, Incarnation: 1}, Region: region, Zone: region, PeerAddress: vm,
				State: peerpb.EntryState_ENTRY_STATE_LIVE,
			})
		}

		return ""
	case "serve":
		s.serving, s.stale = text(d, "region", ""), d.HasArg("stale")

		return ""
	case "arrive":
		return s.handle(s.arrival(t, d, id, at))
	case "tick":
		return s.handle(event.Tick{At: at})
	case "header":
		return s.handle(event.HeaderReceived{At: at, Request: id, Attempt: attempt, Status: 200})
	case "ended":
		return s.handle(event.AttemptEnded{
			At: at, Request: id, Attempt: attempt, Result: results[text(d, "result", "complete")],
			Reason: event.Reason(text(d, "reason", "")),
		})
	case "gone":
		return s.handle(event.CallerDisconnected{At: at, ID: id})
	case "claim":
		return s.handle(event.ClaimEnded{At: at, ID: id, Result: claims[text(d, "result", "granted")], Holder: event.Member{VM: text(d, "holder", "")}})
	case "released":
		return s.handle(event.ClaimReleased{At: at, ID: id, Released: true})
	case "stop":
		return s.handle(event.StopRequested{At: at})
	case "suspect":
		m := &peerpb.Suspect{Fingerprint: uint64(number(t, d, "fp", 0)), Crashes: uint32(number(t, d, "crashes", 0)), Cleared: d.HasArg("cleared")}

		return s.handle(event.PeerMessage{
			At: at, From: event.Member{VM: text(d, "from", "e2")}, Message: &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: m}},
		})
	}
	t.Fatalf("unknown command %s", d.Cmd)

	return ""
}

func (s *script) setBackends(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	for _, word := range strings.Fields(d.Input) {
		name, slots, _ := strings.Cut(word, "=")
		n, err := strconv.Atoi(slots)
		require.NoError(t, err)
		s.slots["backend/"+name] = n
		s.config = s.config.WithBackend(model.Backend{Name: name, Service: "svc", Zone: "z1", Slots: n})
	}

	return s.handle(event.ConfigInForce{At: event.At(s.now), Config: &s.config})
}

func (s *script) arrival(t *testing.T, d *datadriven.TestData, id event.RequestID, at event.At) event.RequestArrived {
	t.Helper()
	deadline, err := time.ParseDuration(text(d, "deadline", "5s"))
	require.NoError(t, err)
	class := map[string]model.Class{"short": model.ClassShort, "long": model.ClassLong, "bulk": model.ClassBulk}[text(d, "class", "short")]

	return event.RequestArrived{
		At: at, ID: id, Service: text(d, "service", "svc"), RouteKey: "GET /x",
		Traits: model.Traits{Class: class, Idempotent: !d.HasArg("post")},
		Key:    text(d, "key", ""), Fingerprint: uint64(number(t, d, "fp", int(id))),
		Deadline: s.now + deadline, CallerRegion: "r1", Carried: d.HasArg("carried"), Replayable: !d.HasArg("streamed"),
		BodyBytes: -1,
	}
}

func (s *script) handle(ev event.Event) string {
	s.wanted = nil
	s.backends, _ = s.backends.Handle(ev)
	var effects []event.Effect
	s.state, effects = s.state.Handle(ev)
	var out strings.Builder
	for _, effect := range effects {
		out.WriteString(s.describe(effect))
	}
	if len(s.wanted) > 0 {
		fmt.Fprintf(&out, "want %s\n", strings.Join(s.wanted, " "))
	}

	return out.String()
}

func (s *script) describe(effect event.Effect) string {
	switch e := effect.(type) {
	case event.SendToBackend:
		kind := "send"
		if e.Hedge {
			kind = "hedge"
		}

		return fmt.Sprintf("%s %d attempt %d to %s\n", kind, e.Request, e.Attempt, e.Backend)
	case event.CarryToEntry:
		return fmt.Sprintf("carry %d attempt %d to %s in %s\n", e.Request, e.Attempt, e.Entry.VM, e.Region)
	case event.CancelAttempt:
		return fmt.Sprintf("cancel %d attempt %d\n", e.Request, e.Attempt)
	case event.RelayResponse:
		return fmt.Sprintf("relay %d attempt %d\n", e.Request, e.Attempt)
	case event.Refuse:
		return strings.TrimRight(fmt.Sprintf("refuse %d %s %s %s", e.Request, e.Outcome, e.Reason, e.Holder.VM), " ") + "\n"
	case event.ClaimKey:
		return fmt.Sprintf("claim %d\n", e.Request)
	case event.ReleaseClaim:
		return fmt.Sprintf("release claim %d\n", e.Request)
	case event.SendToPeer:
		return fmt.Sprintf("tell %s %v\n", e.To.VM, e.Messages[0].GetSuspect().GetCleared())
	case event.WriteLog:
		return ""
	}

	return fmt.Sprintf("%T %+v\n", effect, effect)
}

func text(d *datadriven.TestData, key, fallback string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}

	return fallback
}

func number(t *testing.T, d *datadriven.TestData, key string, fallback int) int {
	t.Helper()
	n, err := strconv.Atoi(text(d, key, strconv.Itoa(fallback)))
	require.NoError(t, err)

	return n
}
