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

// maxNamedEntries is the greatest number of entry VMs that a lookup response names.
const maxNamedEntries = 3

// Lookup answers callers that ask which entry VMs to use.
type Lookup struct {
	self    event.EntryView
	reducer Reducer
	ttl     time.Duration
	health  func() entryapi.HealthState
	blocks  atomic.Pointer[blocks.Table]
}

var _ entryapi.Handler = (*Lookup)(nil)

// NewLookup returns a Lookup for this entry VM, described by self. Callers may use a
// response for the duration ttl. The function health returns the state of this entry VM.
func NewLookup(self event.EntryView, reducer Reducer, ttl time.Duration, health func() entryapi.HealthState) *Lookup {
	l := &Lookup{self: self, reducer: reducer, ttl: ttl, health: health}
	l.blocks.Store(&blocks.Table{})

	return l
}

// SetBlocks replaces the table of callers' address blocks. The table gives the site or
// region that serves each block.
func (l *Lookup) SetBlocks(table blocks.Table) {
	l.blocks.Store(&table)
}

// remoteAddrContextKey is the context key of the caller's "address:port".
type remoteAddrContextKey struct{}

// Handler returns the HTTP handler of the lookup listener.
func (l *Lookup) Handler() (http.Handler, error) {
	server, err := entryapi.NewServer(l)
	if err != nil {
		return nil, fmt.Errorf("create lookup server: %w", err)
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), remoteAddrContextKey{}, r.RemoteAddr)))
	}), nil
}

// Health implements entryapi.Handler.
func (l *Lookup) Health(context.Context) (entryapi.HealthRes, error) {
	health := entryapi.Health{State: l.health()}
	if config := l.reducer.Config(); config != nil {
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
	config := l.reducer.Config()
	if config == nil {
		return errorResponse(http.StatusServiceUnavailable, "no configuration is in force yet"), nil
	}
	service, ok := config.ServiceOfHost(params.Service)
	if !ok {
		return errorResponse(http.StatusNotFound, fmt.Sprintf("unknown service %q", params.Service)), nil
	}
	callerAddress, err := l.callerAddress(ctx, params)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error()), nil
	}
	members := l.reducer.Members()
	destination := l.destination(config, callerAddress)
	answer := &entryapi.LookupAnswer{
		Service:             service.Name,
		Region:              destination.region,
		Entries:             []entryapi.EntryAddress{},
		TTLMinusSeconds:     int(max(l.ttl/time.Second, 1)),
		Stale:               members.Stale,
		ConfigMinusVersion:  int64(config.Version),
		IdempotencyMinusKey: strconv.FormatInt(l.reducer.Wall().Unix(), 10) + "-" + rand.Text(),
	}
	chosen := destination.chooseEntries(members.Entries)
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

func errorResponse(status int, message string) *entryapi.FailureStatusCode {
	return &entryapi.FailureStatusCode{StatusCode: status, Response: entryapi.Error{Message: message}}
}

// callerAddress returns the address parameter of the lookup or, without that parameter,
// the remote address of the connection.
func (l *Lookup) callerAddress(ctx context.Context, params entryapi.LookupParams) (netip.Addr, error) {
	if text, ok := params.Address.Get(); ok {
		callerAddress, err := netip.ParseAddr(text)
		if err != nil {
			return netip.Addr{}, fmt.Errorf("parameter address: %w", err)
		}

		return callerAddress.Unmap(), nil
	}
	remote, _ := ctx.Value(remoteAddrContextKey{}).(string)
	addrPort, err := netip.ParseAddrPort(remote)
	if err != nil {
		return netip.Addr{}, fmt.Errorf("address of the connection: %w", err)
	}

	return addrPort.Addr().Unmap(), nil
}

// destination is the site or region whose entry VMs a caller is told to use.
type destination struct {
	// site is "" unless a site serves the caller's address block.
	site   string
	region string
	// block is the caller's address block, or the caller's address when no block contains
	// it. It seeds the order of the entry VMs, so that all callers of a block use the
	// same entry VMs.
	block string
}

// destination returns the destination for a caller's address. When no block contains the
// address, it is the region of this entry VM.
func (l *Lookup) destination(config *model.Config, address netip.Addr) destination {
	target, prefix, ok := l.blocks.Load().Lookup(address)
	if !ok {
		return destination{region: l.self.Region, block: address.String()}
	}
	if site, ok := config.Sites[target]; ok {
		return destination{site: target, region: config.RegionOfZone(site.Zone), block: prefix.String()}
	}

	return destination{region: target, block: prefix.String()}
}

// chooseEntries returns up to maxNamedEntries live entry VMs of different availability
// zones: those of the site first, then those of the region. It returns entry VMs of other
// regions only when d.region has no live entry VM.
func (d destination) chooseEntries(entries []event.EntryView) []event.EntryView {
	type candidate struct {
		// rank is 0 for an entry VM in the site, 1 in the region and 2 elsewhere.
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
		if e.Region == d.region {
			rank = 1
		}
		if d.site != "" && e.Site == d.site {
			rank = 0
		}
		candidates = append(candidates, candidate{rank, rendezvous.Weight(d.block, e.Member.VM), e})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.weight, a.weight), cmp.Compare(a.view.Member.VM, b.view.Member.VM))
	})
	var out []event.EntryView
	for _, c := range candidates {
		if len(out) == maxNamedEntries || (c.rank == 2 && len(out) > 0 && out[0].Region == d.region) {
			break
		}
		if !slices.ContainsFunc(out, func(e event.EntryView) bool { return e.Zone == c.view.Zone }) {
			out = append(out, c.view)
		}
	}

	return out
}
