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

// TestScripts runs the scripts in testdata. The first comment of each script names
// the failure that the script guards against.
func TestScripts(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		f := newFixture()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			return f.run(t, d)
		})
	})
}

// fixture is one entry VM of region r1. It implements Dependencies with what the
// commands of a script set.
type fixture struct {
	config          model.Config
	backends        backend.State
	state           State
	slots           map[string]int // by pool
	usedTokens      map[string]int // by backend server
	chosenRegion    string
	entries         []event.EntryView
	stale           bool
	now             time.Duration
	requestedTokens []string
}

var self = event.Member{VM: "e1", Incarnation: 1}

func newFixture() *fixture {
	f := &fixture{
		config: model.Config{
			Regions:  map[string]model.Region{"r1": {Name: "r1", Zones: []string{"z1"}}},
			Services: map[string]model.Service{"svc": {Name: "svc", Deadline: 10 * time.Second}},
			Backends: map[string]model.Backend{},
		},
		backends: backend.New(backend.Settings{Self: self, Region: "r1", Zone: "z1", Seed: 1}),
		slots:    map[string]int{}, usedTokens: map[string]int{}, chosenRegion: "r1",
	}
	f.state = New(Settings{Self: self, Region: "r1", Zone: "z1", Seed: 1, LookupTTL: 10 * time.Second, StartedUnixMS: 1_000_000_000}, f)

	return f
}

func (f *fixture) Backends() backend.State                   { return f.backends }
func (f *fixture) Tokens() backend.Tokens                    { return f }
func (f *fixture) Free(name string) int                      { return f.slots["backend/"+name] - f.usedTokens[name] }
func (f *fixture) Held(pool string) int64                    { return int64(f.slots[pool]) }
func (f *fixture) ReleaseToken(name string)                  { f.usedTokens[name]-- }
func (f *fixture) Stale(time.Duration) bool                  { return f.stale }
func (f *fixture) Finish(event.RequestID)                    {}
func (f *fixture) RequestTokens(b []string, _ time.Duration) { f.requestedTokens = b }

func (f *fixture) Sent(string, string, time.Duration) {}

func (f *fixture) AcquireToken(name string) bool {
	if f.Free(name) < 1 {
		return false
	}
	f.usedTokens[name]++

	return true
}

func (f *fixture) Region(_, _ string, _ time.Duration) (string, bool) {
	return f.chosenRegion, f.chosenRegion != ""
}

func (f *fixture) Entries(region string) []event.EntryView {
	var out []event.EntryView
	for _, e := range f.entries {
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

var claimResults = map[string]event.ClaimResult{
	"granted": event.ClaimGranted, "duplicate": event.ClaimDuplicate, "unavailable": event.ClaimUnavailable,
}

func (f *fixture) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if at := argText(d, "at", ""); at != "" {
		now, err := time.ParseDuration(at)
		require.NoError(t, err)
		f.now = now
	}
	at := event.At(f.now)
	id, attemptID := event.RequestID(argNumber(t, d, "id", 0)), event.AttemptID(argNumber(t, d, "attempt", 0))
	switch d.Cmd {
	case "backends":
		return f.setBackends(t, d)
	case "leaving":
		f.config = f.config.WithLeaving(argText(d, "name", ""))

		return f.handle(event.ConfigInForce{At: at, Config: &f.config})
	case "entries":
		for _, name := range strings.Fields(d.Input) {
			vm, region, _ := strings.Cut(name, "/")
			f.entries = append(f.entries, event.EntryView{
				Member: event.Member{VM: vm, Incarnation: 1}, Region: region, Zone: region, PeerAddress: vm,
				State: peerpb.EntryState_ENTRY_STATE_LIVE,
			})
		}

		return ""
	case "dependencies":
		f.chosenRegion, f.stale = argText(d, "region", ""), d.HasArg("stale")

		return ""
	case "arrive":
		return f.handle(f.arrival(t, d, id, at))
	case "tick":
		return f.handle(event.Tick{At: at})
	case "header":
		return f.handle(event.HeaderReceived{At: at, Request: id, Attempt: attemptID, Status: argNumber(t, d, "status", 200)})
	case "ended":
		return f.handle(event.AttemptEnded{
			At: at, Request: id, Attempt: attemptID, Result: results[argText(d, "result", "complete")],
			Reason: event.Reason(argText(d, "reason", "")), Status: argNumber(t, d, "status", 0),
		})
	case "disconnect":
		return f.handle(event.CallerDisconnected{At: at, ID: id})
	case "claim-ended":
		return f.handle(event.ClaimEnded{At: at, ID: id, Result: claimResults[argText(d, "result", "granted")], Holder: event.Member{VM: argText(d, "holder", "")}})
	case "claim-released":
		return f.handle(event.ClaimReleaseEnded{At: at, ID: id, Released: true})
	case "stop":
		return f.handle(event.StopRequested{At: at})
	case "suspect":
		m := &peerpb.Suspect{Fingerprint: uint64(argNumber(t, d, "fp", 0)), Crashes: uint32(argNumber(t, d, "crashes", 0)), Cleared: d.HasArg("cleared")}

		return f.handle(event.PeerMessage{
			At: at, From: event.Member{VM: argText(d, "from", "e2")}, Message: &peerpb.Message{Kind: &peerpb.Message_Suspect{Suspect: m}},
		})
	}
	t.Fatalf("unknown command %s", d.Cmd)

	return ""
}

func (f *fixture) setBackends(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	for _, word := range strings.Fields(d.Input) {
		name, slots, _ := strings.Cut(word, "=")
		n, err := strconv.Atoi(slots)
		require.NoError(t, err)
		f.slots["backend/"+name] = n
		f.config = f.config.WithBackend(model.Backend{Name: name, Service: "svc", Zone: "z1", Slots: n})
	}

	return f.handle(event.ConfigInForce{At: event.At(f.now), Config: &f.config})
}

func (f *fixture) arrival(t *testing.T, d *datadriven.TestData, id event.RequestID, at event.At) event.RequestArrived {
	t.Helper()
	deadline, err := time.ParseDuration(argText(d, "deadline", "5s"))
	require.NoError(t, err)
	class := map[string]model.Class{"short": model.ClassShort, "long": model.ClassLong, "bulk": model.ClassBulk}[argText(d, "class", "short")]

	return event.RequestArrived{
		At: at, ID: id, Service: argText(d, "service", "svc"), RouteKey: "GET /x",
		Traits: model.Traits{Class: class, Idempotent: !d.HasArg("post")},
		Key:    argText(d, "key", ""), Fingerprint: uint64(argNumber(t, d, "fp", int(id))),
		Deadline: f.now + deadline, CallerRegion: "r1", Carried: d.HasArg("carried"), Replayable: !d.HasArg("streamed"),
		BodyBytes: -1,
	}
}

func (f *fixture) handle(ev event.Event) string {
	f.requestedTokens = nil
	f.backends, _ = f.backends.Handle(ev)
	var effects []event.Effect
	f.state, effects = f.state.Handle(ev)
	var out strings.Builder
	for _, effect := range effects {
		out.WriteString(f.describe(effect))
	}
	if len(f.requestedTokens) > 0 {
		fmt.Fprintf(&out, "request tokens %s\n", strings.Join(f.requestedTokens, " "))
	}

	return out.String()
}

func (f *fixture) describe(effect event.Effect) string {
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
		return fmt.Sprintf("tell %s suspect cleared=%v\n", e.To.VM, e.Messages[0].GetSuspect().GetCleared())
	case event.WriteLog:
		return ""
	}

	return fmt.Sprintf("%T %+v\n", effect, effect)
}

func argText(d *datadriven.TestData, key, fallback string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}

	return fallback
}

func argNumber(t *testing.T, d *datadriven.TestData, key string, fallback int) int {
	t.Helper()
	n, err := strconv.Atoi(argText(d, key, strconv.Itoa(fallback)))
	require.NoError(t, err)

	return n
}
