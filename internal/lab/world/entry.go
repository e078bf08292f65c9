package world

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/entryapi"
	"github.com/greengagetally/greengagetally/internal/lab/load"
	"github.com/greengagetally/greengagetally/internal/lab/platform"
	"github.com/greengagetally/greengagetally/internal/lab/relay"
)

// Token is the operators' token of the entry VMs.
const Token = "lab-operator-token"

// Entry is one entry VM.
type Entry struct {
	*Proc

	VM, Zone, Region, Site                 string
	Lookup, Request, Peer, Carry, Operator string
	// PeerLink and CarryLink are the relays before the peer and carry
	// addresses, or nil.
	PeerLink, CarryLink *relay.Relay

	// announced is the peer address that others use.
	announced string
}

// startEntries starts all entry VMs.
func (w *World) startEntries() error {
	var zones []string
	for turn := range 2 {
		for _, region := range w.Regions() {
			zones = append(zones, w.Config.Regions[region].Zones[turn])
		}
	}
	for n := range w.Size {
		if _, err := w.Place(zones[n%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.ListVMs(0); err != nil {
		return err
	}
	for _, e := range w.Entries() {
		if err := w.Restart(e); err != nil {
			return err
		}
	}

	return nil
}

// Place adds an entry VM that is not yet running.
func (w *World) Place(zone string) (*Entry, error) {
	region := w.Config.RegionOfZone(zone)
	number := len(w.In(region)) + 1
	e := &Entry{
		VM: fmt.Sprintf("entry-%s-%d", zone, number), Zone: zone, Region: region,
		Lookup: w.address(region, number, 7201), Request: w.address(region, number, 7202),
		Peer: w.address(region, number, 7203), Carry: w.address(region, number, 7204), Operator: w.address(region, number, 7205),
	}
	for _, name := range slices.Sorted(maps.Keys(w.Config.Sites)) {
		if w.Config.Sites[name].Zone == zone {
			e.Site = name
		}
	}
	e.announced = e.Peer
	if w.Relays {
		var err error
		if e.PeerLink, err = relay.New(w.ctx, w.address(region, number, 7303), e.Peer); err != nil {
			return nil, fmt.Errorf("relay of %s: %w", e.VM, err)
		}
		if e.CarryLink, err = relay.New(w.ctx, w.address(region, number, 7304), e.Carry); err != nil {
			return nil, fmt.Errorf("relay of %s: %w", e.VM, err)
		}
		e.announced = e.PeerLink.Address()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[e.VM] = e

	return e, nil
}

// Restart starts the process of an entry VM; an earlier one must have ended.
func (w *World) Restart(e *Entry) error {
	cert, key, err := w.authority.Issue(e.VM)
	if err != nil {
		return fmt.Errorf("certificate of %s: %w", e.VM, err)
	}
	var seeds []string
	for _, other := range w.Entries() {
		if other != e {
			seeds = append(seeds, other.announced)
		}
	}
	args := []string{
		"entry", "--vm", e.VM, "--zone", e.Zone, "--region", e.Region, "--site", e.Site,
		"--lookup-address", e.Lookup, "--request-address", e.Request, "--peer-address", e.Peer,
		"--carry-address", e.Carry, "--operator-address", e.Operator,
		"--platform-url", "http://" + w.Store.Address(), "--operator-tokens", w.tokens(),
		"--tls-cert", cert, "--tls-key", key, "--tls-ca", w.authority.CertFile,
		"--seed-peers", strings.Join(seeds, ","),
	}
	if w.Relays {
		args = append(args, "--advertise-peer", e.PeerLink.Address(), "--advertise-carry", e.CarryLink.Address())
	}
	e.Proc, err = start(w.Dir, e.VM, w.EntryEnv, w.Product, append(args, w.EntryArgs...)...)

	return err
}

// Entries returns all entry VMs in the order of their names.
func (w *World) Entries() []*Entry {
	w.mu.Lock()
	defer w.mu.Unlock()

	out := make([]*Entry, 0, len(w.entries))
	for _, name := range slices.Sorted(maps.Keys(w.entries)) {
		out = append(out, w.entries[name])
	}

	return out
}

// In returns the entry VMs of a region.
func (w *World) In(region string) []*Entry {
	return slices.DeleteFunc(w.Entries(), func(e *Entry) bool { return e.Region != region })
}

// Health returns the state and configuration version of an entry VM, or false
// when it does not answer.
func (w *World) Health(ctx context.Context, e *Entry) (entryapi.Health, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	client, err := entryapi.NewClient("http://" + e.Lookup)
	if err != nil {
		return entryapi.Health{}, false
	}
	res, err := client.Health(ctx)
	if err != nil {
		return entryapi.Health{}, false
	}
	switch h := res.(type) {
	case *entryapi.HealthOK:
		return entryapi.Health(*h), true
	case *entryapi.HealthServiceUnavailable:
		return entryapi.Health(*h), true
	default:
		return entryapi.Health{}, false
	}
}

// InForce reports whether all running entry VMs are live and have a
// configuration version.
func (w *World) InForce(ctx context.Context, version int64) bool {
	var all sync.WaitGroup
	entries := w.Entries()
	ok := make([]bool, len(entries))
	for i, e := range entries {
		all.Go(func() {
			h, answered := w.Health(ctx, e)
			ok[i] = !e.Running() || (answered && h.ConfigMinusVersion >= version && h.State == entryapi.HealthStateLive)
		})
	}
	all.Wait()

	return !slices.Contains(ok, false)
}

// ListVMs sets the platform's list to the entry VMs that are running or not
// yet started; it shows after lagMs.
func (w *World) ListVMs(lagMs int) error {
	var vms []platform.VM
	for _, e := range w.Entries() {
		if e.Proc == nil || e.Running() {
			vms = append(vms, platform.VM{Name: e.VM, Zone: e.Zone, PeerAddress: e.announced})
		}
	}

	return load.CallControl(w.ctx, http.MethodPut, fmt.Sprintf("http://%s/lab/vms?lag-ms=%d", w.platformAddress(), lagMs), vms, nil)
}

// Apply runs `greengagetally config apply` on a folder.
func (w *World) Apply(ctx context.Context, dir string) error {
	var out bytes.Buffer
	var operators []string
	for _, e := range w.Entries() {
		operators = append(operators, e.Operator)
	}
	cmd := exec.CommandContext(ctx, w.Product, "config", "apply", "--operator-address", strings.Join(operators, ","),
		"--token-file", w.tokens(), "--tls-ca", w.authority.CertFile, "--message", "change by the laboratory", dir)
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("config apply: %w: %s", err, out.String())
	}

	return nil
}
