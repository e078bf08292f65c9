package caller

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/config/blocks"
	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
	"github.com/greengagetally/greengagetally/internal/value/rendezvous"
)

// maxNamed is the number of entry VMs that a lookup response names.
const maxNamed = 3

// Lookup answers callers that ask which entry VMs to use.
type Lookup struct {
	self     event.EntryView
	steering Reducer
	ttl      time.Duration
	health   func() entryapi.HealthState
	blocks   atomic.Pointer[blocks.Table]
}

var _ entryapi.Handler = (*Lookup)(nil)

// NewLookup returns a handler that names entry VMs for the time ttl.
func NewLookup(self event.EntryView, steering Reducer, ttl time.Duration, health func() entryapi.HealthState) *Lookup {
	l := &Lookup{self: self, steering: steering, ttl: ttl, health: health}
	l.blocks.Store(&blocks.Table{})

	return l
}

// SetBlocks replaces the table of client blocks.
func (l *Lookup) SetBlocks(table blocks.Table) {
	l.blocks.Store(&table)
}

type remoteKey struct{}

// Handler returns the HTTP handler of the lookup listener.
func (l *Lookup) Handler() (http.Handler, error) {
	server, err := entryapi.NewServer(l)
	if err != nil {
		return nil, fmt.Errorf("lookup server: %w", err)
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), remoteKey{}, r.RemoteAddr)))
	}), nil
}

// Health implements entryapi.Handler.
func (l *Lookup) Health(context.Context) (entryapi.HealthRes, error) {
	health := entryapi.Health{State: l.health()}
	if config := l.steering.Config(); config != nil {
		health.ConfigMinusVersion = int64(config.Version)
	}
	if health.State == entryapi.HealthStateLive {
		ok := entryapi.HealthOK(health)

		return &ok, nil
	}
	unavailable := entryapi.HealthServiceUnavailable(health)

	return &unavailable, nil
}

// Lookup implements entryapi.Handler.
func (l *Lookup) Lookup(ctx context.Context, params entryapi.LookupParams) (entryapi.LookupRes, error) {
	config := l.steering.Config()
	if config == nil {
		return failure(http.StatusServiceUnavailable, "no configuration is in force yet"), nil
	}
	service, ok := config.ServiceOfHost(params.Service)
	if !ok {
		return failure(http.StatusNotFound, fmt.Sprintf("unknown service %q", params.Service)), nil
	}
	address, err := l.address(ctx, params)
	if err != nil {
		return failure(http.StatusBadRequest, err.Error()), nil
	}
	members := l.steering.Members()
	place := l.place(config, address)
	answer := &entryapi.LookupAnswer{
		Service:             service.Name,
		Region:              place.region,
		Entries:             []entryapi.EntryAddress{},
		TTLMinusSeconds:     int(max(l.ttl/time.Second, 1)),
		Stale:               members.Stale,
		ConfigMinusVersion:  int64(config.Version),
		IdempotencyMinusKey: strconv.FormatInt(l.steering.Wall().Unix(), 10) + "-" + rand.Text(),
	}
	chosen := place.choose(members.Entries)
	if len(chosen) == 0 && l.health() != entryapi.HealthStateStopping {
		chosen = []event.EntryView{l.self}
	}
	for _, e := range chosen {
		answer.Entries = append(answer.Entries, entryapi.EntryAddress{
			VM: e.Member.VM, Zone: e.Zone, RequestMinusAddress: e.RequestAddress, LookupMinusAddress: e.LookupAddress,
		})
	}

	return answer, nil
}

func failure(status int, message string) *entryapi.FailureStatusCode {
	return &entryapi.FailureStatusCode{StatusCode: status, Response: entryapi.Error{Message: message}}
}

// address returns the caller's address: the parameter, or that of the connection.
func (l *Lookup) address(ctx context.Context, params entryapi.LookupParams) (netip.Addr, error) {
	if text, ok := params.Address.Get(); ok {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, fmt.Errorf("parameter address: %w", err)
		}

		return address.Unmap(), nil
	}
	remote, _ := ctx.Value(remoteKey{}).(string)
	port, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("address of the connection: %w", err)
	}

	return port.Addr().Unmap(), nil
}

// place is where a caller is steered to.
type place struct {
	// site is "" when the block names a region.
	site   string
	region string
	// block orders the entries, so that callers of one block use the same ones.
	block string
}

func (l *Lookup) place(config *model.Config, address netip.Addr) place {
	target, prefix, ok := l.blocks.Load().Lookup(address)
	if !ok {
		return place{region: l.self.Region, block: address.String()}
	}
	if site, ok := config.Sites[target]; ok {
		return place{site: target, region: config.RegionOfZone(site.Zone), block: prefix.String()}
	}

	return place{region: target, block: prefix.String()}
}

// choose returns live entries of different availability zones: those of the
// site first, then those of the region. Entries of other regions are named only
// when the region has none.
func (p place) choose(entries []event.EntryView) []event.EntryView {
	type candidate struct {
		rank   int
		weight uint64
		view   event.EntryView
	}
	candidates := make([]candidate, 0, len(entries))
	for _, e := range entries {
		if e.State != peerpb.EntryState_ENTRY_STATE_LIVE {
			continue
		}
		rank := 2
		if e.Region == p.region {
			rank = 1
		}
		if p.site != "" && e.Site == p.site {
			rank = 0
		}
		candidates = append(candidates, candidate{rank, rendezvous.Weight(p.block, e.Member.VM), e})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.weight, a.weight), cmp.Compare(a.view.Member.VM, b.view.Member.VM))
	})
	var out []event.EntryView
	for _, c := range candidates {
		if len(out) == maxNamed || (c.rank == 2 && len(out) > 0 && out[0].Region == p.region) {
			break
		}
		if !slices.ContainsFunc(out, func(e event.EntryView) bool { return e.Zone == c.view.Zone }) {
			out = append(out, c.view)
		}
	}

	return out
}
