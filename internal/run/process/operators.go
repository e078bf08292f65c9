package process

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/entry"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/wire/operator"
)

var _ operator.Entry = operatorEntry{}

const (
	// askVersionsTimeout bounds one call of AskVersions; `greengagetally config apply`
	// repeats the call while it waits for a version to come into force.
	askVersionsTimeout = time.Second
	// askVersionsConcurrency bounds the entry VMs that are asked at the same time.
	askVersionsConcurrency = 16
)

// operators returns the handler of the operator listener. Without a file of operators'
// bearer tokens, the handler refuses every call but the one for metrics.
func (p *Process) operators() (http.Handler, error) {
	var tokens operator.Tokens
	if p.settings.OperatorTokens != "" {
		read, err := operator.ReadTokens(p.settings.OperatorTokens)
		if err != nil {
			return nil, fmt.Errorf("--operator-tokens: %w", err)
		}
		tokens = read
	}
	api, err := operator.New(p.configSync, operatorEntry{p}, tokens)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	mux.Handle("/", api)

	return mux, nil
}

// operatorEntry implements operator.Entry for this entry VM.
type operatorEntry struct {
	*Process
}

// AskVersions implements operator.Entry. It asks every entry that is not known to hold
// the version, because an operator waits for all of them. Gossip takes seconds, and it
// reports only the versions of entries to which this entry has a gossip link.
func (e operatorEntry) AskVersions(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, askVersionsTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askVersionsConcurrency)
	for _, view := range e.Members().Entries {
		if view.Member == e.self.Member || e.knownVersion(view) >= version || view.State == peerpb.EntryState_ENTRY_STATE_GONE {
			continue
		}
		group.Go(func() error {
			receipt, err := e.peerClient.Send(ctx, view.PeerAddress, view.Member.VM, e.envelope(nil, nil))
			if err == nil {
				e.notePeerVersion(view.Member, receipt.GetConfigVersion())
			}

			return nil
		})
	}
	_ = group.Wait()
}

// knownVersion returns the highest configuration version that an entry VM is
// known to hold.
func (e operatorEntry) knownVersion(view event.EntryView) uint64 {
	e.peerVersionsMu.Lock()
	defer e.peerVersionsMu.Unlock()

	return max(view.ConfigVersion, e.peerVersions[view.Member])
}

// Drain implements operator.Entry.
func (e operatorEntry) Drain() {
	e.Stop()
}

// Status implements operator.Entry.
func (e operatorEntry) Status() operatorapi.Status {
	status, members, config := e.Process.Status(), e.Members(), e.Config()
	if config == nil {
		config = &model.Config{}
	}
	out := operatorapi.Status{
		VM: e.self.Member.VM, Zone: e.self.Zone, Region: e.self.Region,
		State: string(e.health()), ConfigMinusVersion: int64(status.ConfigVersion), Stale: members.Stale,
		Pools: pools(status, config), Links: links(status, config),
		Leaving: status.Leaving, Stragglers: status.Stragglers,
	}
	for _, reason := range slices.Sorted(maps.Keys(status.Refusals)) {
		out.Refusals = append(out.Refusals, operatorapi.Refusals{Reason: string(reason), Count: status.Refusals[reason]})
	}
	for _, view := range members.Entries {
		out.Entries = append(out.Entries, e.record(view))
	}

	return out
}

// record returns what is known of an entry VM. The configuration version is the highest
// one that the VM has reported.
func (e operatorEntry) record(view event.EntryView) operatorapi.EntryRecord {
	record := operatorapi.EntryRecord{VM: view.Member.VM, Zone: view.Zone, State: stateName(view.State)}
	if view.Member == e.self.Member {
		record.State, record.ConfigMinusVersion = string(e.health()), int64(e.ConfigVersion())

		return record
	}
	record.ConfigMinusVersion = int64(e.knownVersion(view))

	return record
}

func stateName(state peerpb.EntryState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "ENTRY_STATE_"))
}

func pools(status entry.Status, config *model.Config) []operatorapi.Pool {
	out := make([]operatorapi.Pool, 0, len(status.Pools))
	for _, pool := range status.Pools {
		name := strings.TrimPrefix(pool.Name, "backend/")
		out = append(out, operatorapi.Pool{
			Name: pool.Name, Capacity: config.Backends[name].Slots, Held: int(pool.Held), InMinusUse: int(pool.InUse),
		})
	}

	return out
}

func links(status entry.Status, config *model.Config) []operatorapi.LinkUse {
	out := make([]operatorapi.LinkUse, 0, len(status.Links))
	for _, use := range status.Links {
		id := model.LinkID{From: use.From, To: use.To}
		out = append(out, operatorapi.LinkUse{
			From: use.From, To: use.To, LimitMinusBits: config.Links[id].LimitBits,
			ShareMinusBits: use.LimitBits, UsedMinusBits: use.SentBits,
		})
	}

	return out
}
