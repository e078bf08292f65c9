// Package test runs the commands of greengagetally as an operator does.
package test

import (
	"context"
	"crypto/tls"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/cli/cmd"
	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/run/configuration"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/operator"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"greengagetally": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands whose output, exit code or effect differs from what
// the manual pages say.
func TestScripts(t *testing.T) {
	t.Parallel()
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			address, ca, err := startEntry(env)
			env.Setenv("GREENGAGETALLY_OPERATOR_ADDRESS", address)
			env.Setenv("GREENGAGETALLY_TLS_CA", ca)
			env.Setenv("EXAMPLES", examples)

			return err
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// code runs greengagetally and compares its exit code with the first argument.
			"code": func(ts *testscript.TestScript, _ bool, args []string) {
				err := ts.Exec("greengagetally", args[1:]...)
				got := "0"
				if err != nil {
					got = strings.TrimPrefix(err.Error(), "exit status ")
				}
				if got != args[0] {
					ts.Fatalf("exit code %s, expected %s", got, args[0])
				}
			},
		},
	})
}

const operatorTokens = "ana:token-of-ana-0001\nbruno:token-of-bruno-01\n"

// startEntry serves the operator interface of an entry VM and returns its address and
// its CA file. Peers in a second zone always hold every version.
func startEntry(env *testscript.Env) (address, ca string, err error) {
	tokens, err := operator.ParseTokens([]byte(operatorTokens))
	if err != nil {
		return "", "", err
	}
	e := &fakeEntry{}
	e.config = configuration.New(configuration.Settings{
		Store: &memoryStore{docs: make(map[string]platform.Document)}, Peers: e, Timer: timer.NewSystem(), Log: zap.NewNop(),
		Zone: "finistere-a", OnInForce: func(model.Config) {},
	})
	handler, err := operator.New(e.config, e, tokens)
	if err != nil {
		return "", "", err
	}
	authority, err := keys.NewAuthority(env.WorkDir)
	if err != nil {
		return "", "", err
	}
	cert, key, err := authority.Issue("vm-1")
	if err != nil {
		return "", "", err
	}
	certificate, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return "", "", err
	}
	server := httptest.NewUnstartedServer(handler)
	server.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}}
	server.StartTLS()
	env.Defer(server.Close)

	return server.Listener.Addr().String(), authority.CertFile, nil
}

// fakeEntry stands in for an entry VM and its peers behind the operator
// interface.
type fakeEntry struct {
	config  *configuration.Configuration
	mu      sync.Mutex
	drained bool
}

func (e *fakeEntry) FetchRoot(context.Context, event.Member, uint64) (*peerpb.RootDelta, error) {
	return &peerpb.RootDelta{}, nil
}

func (e *fakeEntry) FetchParts(context.Context, event.Member, []string) ([]*peerpb.Part, error) {
	return nil, nil
}

func (e *fakeEntry) Announce(uint64) {}

func (e *fakeEntry) ZonesHolding(uint64) []string {
	return []string{"morbihan-b"}
}

func (e *fakeEntry) Status() operatorapi.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := int64(e.config.Root().Version)
	state := "live"
	if e.drained {
		state = "leaving"
	}

	return operatorapi.Status{
		VM: "vm-1", Zone: "finistere-a", Region: "finistere", State: state, ConfigMinusVersion: version,
		Pools:   []operatorapi.Pool{{Name: "backend/booking-finistere-1", Capacity: 6, Held: 3, InMinusUse: 1}},
		Links:   []operatorapi.LinkUse{},
		Leaving: []string{}, Stragglers: []string{}, Refusals: []operatorapi.Refusals{},
		Entries: []operatorapi.EntryRecord{
			{VM: "vm-1", Zone: "finistere-a", State: state, ConfigMinusVersion: version},
			{VM: "vm-2", Zone: "morbihan-b", State: "live", ConfigMinusVersion: version},
		},
	}
}

func (e *fakeEntry) AskVersions(context.Context, uint64) {}

func (e *fakeEntry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = true
}

// memoryStore holds documents in memory and never fails.
type memoryStore struct {
	platform.Store

	mu   sync.Mutex
	docs map[string]platform.Document
}

func (m *memoryStore) Read(_ context.Context, key string) (platform.Document, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.docs[key], nil
}

func (m *memoryStore) Write(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.docs[key].Version != expected {
		return 0, platform.ErrConflict
	}
	m.docs[key] = platform.Document{Key: key, Version: expected + 1, Value: value}

	return expected + 1, nil
}
