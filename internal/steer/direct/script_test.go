package direct_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/value/option"
)

// TestNotices runs the scripts in testdata/notice, about servers that say in responses
// that they are leaving or want no requests. The first comment of each script names the
// failure that it guards against.
func TestNotices(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/notice")
}

// TestStop runs the scripts in testdata/stop, about the planned end of an entry VM.
func TestStop(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/stop")
}

// TestSuspects runs the scripts in testdata/suspect, about content that may crash servers.
func TestSuspects(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/suspect")
}

// TestRefusals runs the scripts in testdata/refusal, about servers that refuse requests.
func TestRefusals(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/refusal")
}

// TestBodies runs the scripts in testdata/bodies, about servers whose memory long bodies fill.
func TestBodies(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/bodies")
}

// TestHedges runs the scripts in testdata/hedge, about second attempts for late requests.
func TestHedges(t *testing.T) {
	t.Parallel()
	runScripts(t, "testdata/hedge")
}

// runScripts runs each script of a folder with an entry VM of its own.
func runScripts(t *testing.T, folder string) {
	t.Helper()
	datadriven.Walk(t, folder, func(t *testing.T, path string) {
		t.Helper()
		f := newScriptFixture()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			return f.run(t, d)
		})
	})
}

// scriptFixture is one entry VM of the region r.
type scriptFixture struct {
	settings direct.Settings
	state    direct.State
	route    intent.Route
	now      time.Duration
	// sent holds the server of each request's last attempt.
	sent        map[direct.RequestID]string
	lastLearned direct.RequestID
}

func newScriptFixture() *scriptFixture {
	f := &scriptFixture{sent: map[direct.RequestID]string{}}
	f.route = intent.Route{
		Name: "route", Host: "h", Prefix: "/", Target: time.Second, Timeout: 3 * time.Second, MaxAttempts: 3,
		ServiceWeights: []intent.ServiceWeight{{Service: "s", Weight: 1}},
	}
	f.settings = direct.Settings{Name: "entry", Zone: "z", Region: "r", Seed: 1, RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second, MaxShift: 0.15, FaultTime: 4 * time.Second, WarmupAllowance: 20}
	f.state = direct.New(f.settings)
	f.configure(1, "/health")

	return f
}

// configure applies a version of the configuration with the health path of the service.
func (f *scriptFixture) configure(version uint64, healthPath string) string {
	return f.apply(direct.IntentChanged{Intent: intent.New(version, []intent.Route{f.route},
		map[string]intent.Service{"s": {Name: "s", HealthPath: healthPath}}, intent.Limits{})})
}

// run executes a command at the time given by its argument "at", if it has one, and
// returns the effects.
func (f *scriptFixture) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	if d.HasArg("at") {
		f.now = argDuration(t, d, "at")
	}
	at := direct.At(f.now)
	var id, status, content, body int
	for name, v := range map[string]*int{"id": &id, "status": &status, "content": &content, "body": &body} {
		if d.HasArg(name) {
			d.ScanArgs(t, name, v)
		}
	}
	var pause option.Option[time.Duration]
	if d.HasArg("pause") {
		pause = option.Some(argDuration(t, d, "pause"))
	}
	switch d.Cmd {
	case "list":
		return f.apply(direct.ServersChanged{At: at, Servers: listedServers(t, d.Input)})
	case "request":
		f.route.Idempotent, f.route.MaxAttempts = d.HasArg("idempotent"), 3
		if d.HasArg("attempts") {
			d.ScanArgs(t, "attempts", &f.route.MaxAttempts)
		}
		left := 5 * time.Second
		if d.HasArg("left") {
			left = argDuration(t, d, "left")
		}
		var customer intent.Customer
		if d.HasArg("limited") {
			customer = intent.Customer{Name: "customer", Limit: intent.RateLimit{PerSecond: 10}}
		}

		return f.apply(direct.RequestArrived{At: at, ID: direct.RequestID(id), Route: f.route, Customer: customer, BodyBytes: body, Deadline: f.now + left, Fingerprint: uint64(content)})
	case "answered", "not-run":
		outcome := map[string]direct.Outcome{"answered": direct.Answered, "not-run": direct.NotRun}[d.Cmd]

		return f.apply(direct.AttemptEnded{At: at, ID: direct.RequestID(id), Hedge: d.HasArg("hedge"), Outcome: outcome, Status: status, Leaving: d.HasArg("leaving"), PauseFor: pause})
	case "broken-off":
		return f.apply(direct.AttemptEnded{At: at, ID: direct.RequestID(id), Outcome: direct.Unknown, TimedOut: true})
	case "no-health-path":
		return f.configure(2, "")
	case "stop":
		return f.apply(direct.StopRequested{At: at, AnswerBy: argDuration(t, d, "answer-by")})
	case "lost":
		return f.apply(direct.AttemptEnded{At: at, ID: direct.RequestID(id), Hedge: d.HasArg("hedge"), Outcome: direct.Unknown})
	case "late":
		return f.apply(direct.HedgeDue{At: at, ID: direct.RequestID(id)})
	case "caller-leaves":
		return f.apply(direct.CallerLeft{At: at, ID: direct.RequestID(id)})
	case "hedge-share":
		d.ScanArgs(t, "share", &f.settings.HedgeShares.Default)
		if d.HasArg("no-retries") {
			f.settings.RetryRatio, f.settings.RetryAllowance = 0, 0
		}

		return f.apply(direct.SettingsChanged{At: at, Settings: f.settings})
	case "learn":
		return f.learn()
	case "probe-ended":
		var name string
		d.ScanArgs(t, "server", &name)

		return f.apply(direct.ProbeEnded{At: at, Server: name, Healthy: d.HasArg("healthy"), Leaving: d.HasArg("leaving"), PauseFor: pause})
	case "entry-vms":
		return f.apply(direct.EntryVMsChanged{At: at, Names: []string{"entry", "other"}})
	case "report":
		// The other entry VM has heard from the servers in the input that they are leaving.
		other := newScriptFixture()
		other.apply(direct.ServersChanged{Servers: listedServers(t, d.Input)})
		other.apply(direct.RequestArrived{ID: 1, Route: f.route, Deadline: 5 * time.Second})
		other.apply(direct.AttemptEnded{ID: 1, Outcome: direct.Answered, Status: 200, Leaving: true})

		return f.apply(direct.PeerReported{At: at, Peer: "other", Report: other.state.Report()})
	case "reported":
		return fmt.Sprintf("%d leaving\n", len(f.state.Report().Leaving))
	case "usual":
		// Enough requests that their bodies have the mean length.
		for i := range direct.RequestID(300) {
			f.apply(direct.RequestArrived{At: at, ID: 1000 + i, Route: f.route, BodyBytes: body, Deadline: f.now + time.Second})
			f.apply(direct.AttemptEnded{At: at, ID: 1000 + i, Outcome: direct.Answered, Status: 200})
		}

		return ""
	case "tick":
		return f.apply(direct.Tick{At: at})
	}
	t.Fatalf("unknown command %s", d.Cmd)

	return ""
}

// learn lets 100 requests be answered in 10 to 29 ms each, in two seconds.
func (f *scriptFixture) learn() string {
	f.route.Idempotent = true
	for i := range 100 {
		f.lastLearned++
		id := 1000 + f.lastLearned
		f.apply(direct.RequestArrived{At: direct.At(f.now), ID: id, Route: f.route, Deadline: f.now + 5*time.Second})
		f.now += time.Duration(10+i%20) * time.Millisecond
		f.apply(direct.AttemptEnded{At: direct.At(f.now), ID: id, Outcome: direct.Answered, Status: 200})
	}

	return f.apply(direct.Tick{At: direct.At(f.now)})
}

func argDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	out, err := time.ParseDuration(text)
	require.NoError(t, err)

	return out
}

// listedServers parses lines of the form "ID START [leaving] [cold]".
func listedServers(t *testing.T, input string) []direct.Server {
	t.Helper()
	var out []direct.Server
	for line := range strings.Lines(input) {
		s := direct.Server{Service: "s", Zone: "z", Region: "r", Slots: 2}
		_, err := fmt.Sscan(line, &s.ID, &s.StartedUnixMS)
		require.NoError(t, err)
		s.Address, s.Leaving = s.ID, strings.Contains(line, "leaving")
		if strings.Contains(line, "cold") {
			s.ColdFor = time.Minute
		}
		out = append(out, s)
	}

	return out
}

// apply passes an event to the reducer and describes the effects, one on a line.
func (f *scriptFixture) apply(ev direct.Event) string {
	next, effects := direct.Reduce(f.state, ev)
	f.state = next
	var out strings.Builder
	for _, effect := range effects {
		switch e := effect.(type) {
		case direct.Send:
			f.sent[e.ID] = e.Server.ID
			fmt.Fprintf(&out, "send %d to %s", e.ID, e.Server.ID)
			if e.Hedge {
				out.WriteString(", too")
			}
			if e.LateAt > 0 {
				fmt.Fprintf(&out, ", late after %s", (e.LateAt - f.now).Round(time.Millisecond))
			}
			out.WriteString("\n")
		case direct.Cancel:
			fmt.Fprintf(&out, "cancel %d, hedge %t\n", e.ID, e.Hedge)
		case direct.Hold:
			fmt.Fprintf(&out, "hold %d\n", e.ID)
		case direct.Refuse:
			fmt.Fprintf(&out, "refuse %d %s, return after %d s\n", e.ID, e.Reason, int(e.RetryAfter.Seconds()))
		case direct.ReturnResponse:
			fmt.Fprintf(&out, "respond %d\n", e.ID)
		case direct.Fail:
			fmt.Fprintf(&out, "fail %d %s\n", e.ID, e.Reason)
		case direct.Probe:
			fmt.Fprintf(&out, "probe %s\n", e.Server.ID)
		case direct.CloseIdle:
			fmt.Fprintf(&out, "close idle connections to %s\n", e.Server.ID)
		case direct.LogServerState:
			fmt.Fprintf(&out, "%s is %s: %s\n", e.Server, e.State, e.Cause)
		}
	}

	return out.String()
}
