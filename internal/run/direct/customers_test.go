package direct_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/direct"
)

// keyFixture is an entry VM with a backend server that shows what it gets.
type keyFixture struct {
	entryVM    *runningEntryVM
	deployment *deployment
	// answers are all bytes that callers got.
	answers strings.Builder

	mu sync.Mutex
	// seen are the headers of the last request that the server got.
	seen http.Header
}

func newKeyFixture(t *testing.T) *keyFixture {
	t.Helper()
	f := &keyFixture{}
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.seen = r.Header.Clone()
		f.mu.Unlock()
		if strings.HasSuffix(r.URL.Path, "/lost") {
			closeConnection(w, r)

			return
		}
		ok(w, r)
	})
	f.deployment = newDeployment(s.listed("server", "z1"))
	f.entryVM = startEntryVM(t, f.deployment, "127.0.0.46", time.Second)
	waitUntilReady(t, f.entryVM)

	return f
}

// configure puts the next version of the configuration in force, with a key for each line of
// "KEY CUSTOMER", or without customers.
func (f *keyFixture) configure(t *testing.T, customers bool, lines string) {
	t.Helper()
	version := uint64(0)
	f.deployment.change(direct.TableOperatorConfig, func() {
		f.deployment.customerKeys = nil
		if customers {
			f.deployment.customerKeys = map[string]string{}
		}
		for line := range strings.Lines(lines) {
			var key, name string
			_, err := fmt.Sscan(line, &key, &name)
			require.NoError(t, err)
			f.deployment.customerKeys[key] = name
		}
		f.deployment.configVersion++
		version = f.deployment.configVersion
	})
	require.Eventually(t, func() bool {
		return f.entryVM.logs.FilterMessage("configuration in force").FilterField(zap.Uint64("version", version)).Len() > 0
	}, waitTimeout, 5*time.Millisecond)
}

// request sends a request and describes the answer and what the server got of the headers
// about customers. A request with a statedLength is refused before its body is sent.
func (f *keyFixture) request(t *testing.T, target, headers string, statedLength int) string {
	t.Helper()
	f.mu.Lock()
	f.seen = nil
	f.mu.Unlock()
	conn, err := net.Dial("tcp", f.entryVM.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 7\r\nContent-Length: %d\r\n", target, statedLength)
	for line := range strings.Lines(headers) {
		head += strings.TrimSuffix(line, "\n") + "\r\n"
	}
	_, err = io.WriteString(conn, head+"\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn, &f.answers)), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	out := fmt.Sprintln(resp.StatusCode)
	if resp.Header.Get("Retry-After") != "" {
		out = fmt.Sprintln(resp.StatusCode, "with Retry-After")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.seen)) {
		if lower := strings.ToLower(name); strings.Contains(lower, "authorization") || strings.Contains(lower, "customer") || lower == "other" {
			out += fmt.Sprintf("server gets %s: %q\n", name, f.seen[name])
		}
	}

	return out
}

// Guards against requests that are served without the key of a customer, under the name of
// another customer or of none, against keys that reach a backend server, and against a change
// of any header while there are no customers. Guards also against keys in log lines, metrics
// and answers: all keys of the data file begin with "secret".
func TestKeys(t *testing.T) {
	t.Parallel()
	f := newKeyFixture(t)
	long := strings.NewReplacer("<long>", strings.Repeat("k", 5000), "<too-long>", strings.Repeat("k", 64<<10))
	datadriven.RunTest(t, "testdata/keys", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		switch d.Cmd {
		case "customers", "no-customers":
			f.configure(t, d.Cmd == "customers", d.Input)

			return ""
		case "request":
			length := 0
			if d.HasArg("length") {
				d.ScanArgs(t, "length", &length)
			}

			return f.request(t, d.CmdArgs[0].Key, long.Replace(d.Input), length)
		case "count":
			return fmt.Sprintln(f.entryVM.metrics.Count(d.CmdArgs[0].Key))
		}
		t.Fatalf("unknown command %s", d.Cmd)

		return ""
	})
	served := httptest.NewRecorder()
	f.entryVM.metrics.ServeHTTP(served, nil)
	var logged strings.Builder
	for _, entry := range f.entryVM.logs.All() {
		data, err := json.Marshal(entry.ContextMap())
		require.NoError(t, err)
		logged.WriteString(entry.Message + string(data))
	}
	for name, text := range map[string]string{"log": logged.String(), "metrics": served.Body.String(), "answers": f.answers.String()} {
		require.NotContains(t, text, "secret", name)
	}
	require.Contains(t, logged.String(), `"customer":"alice"`)
}
