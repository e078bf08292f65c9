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

// OperatorToken is the operator token that the entry VMs accept.
const OperatorToken = "lab-operator-token"

// Entry is one entry VM. Its ChildProcess is nil until StartEntry is called.
type Entry struct {
	*ChildProcess

	VM, Zone, Region, Site string
	// PeerAddress receives control messages of other entry VMs, CarryAddress the
	// requests that they carry (send here to be served).
	LookupAddress, RequestAddress, PeerAddress, CarryAddress, OperatorAddress string
	// PeerRelay and CarryRelay forward connections to PeerAddress and
	// CarryAddress; both are nil without Options.EntryRelays.
	PeerRelay, CarryRelay *relay.Relay

	// announcedPeerAddress is the peer address that other entry VMs and the platform's
	// list of VMs use: the address of PeerRelay, or PeerAddress when PeerRelay is nil.
	announcedPeerAddress string
}

// startEntries adds EntryCount entry VMs, in turn to the first two availability
// zones of each region, publishes them in the platform's list and starts their
// processes.
func (w *World) startEntries() error {
	var zones []string
	for zoneIndex := range 2 {
		for _, region := range w.Regions() {
			zones = append(zones, w.Config.Regions[region].Zones[zoneIndex])
		}
	}
	for n := range w.EntryCount {
		if _, err := w.AddEntry(zones[n%len(zones)]); err != nil {
			return err
		}
	}
	if err := w.PublishVMs(0); err != nil {
		return err
	}
	for _, e := range w.Entries() {
		if err := w.StartEntry(e); err != nil {
			return err
		}
	}

	return nil
}

// AddEntry adds an entry VM to a zone, with its relays; StartEntry starts its
// process. It returns an error when a relay cannot listen.
func (w *World) AddEntry(zone string) (*Entry, error) {
	region := w.Config.RegionOfZone(zone)
	number := len(w.EntriesIn(region)) + 1
	e := &Entry{
		VM: fmt.Sprintf("entry-%s-%d", zone, number), Zone: zone, Region: region,
		LookupAddress: w.loopbackAddress(region, number, 7201), RequestAddress: w.loopbackAddress(region, number, 7202),
		PeerAddress: w.loopbackAddress(region, number, 7203), CarryAddress: w.loopbackAddress(region, number, 7204), OperatorAddress: w.loopbackAddress(region, number, 7205),
	}
	for _, name := range slices.Sorted(maps.Keys(w.Config.Sites)) {
		if w.Config.Sites[name].Zone == zone {
			e.Site = name
		}
	}
	e.announcedPeerAddress = e.PeerAddress
	if w.EntryRelays {
		var err error
		if e.PeerRelay, err = relay.New(w.ctx, w.loopbackAddress(region, number, 7303), e.PeerAddress); err != nil {
			return nil, fmt.Errorf("relay of %s: %w", e.VM, err)
		}
		if e.CarryRelay, err = relay.New(w.ctx, w.loopbackAddress(region, number, 7304), e.CarryAddress); err != nil {
			return nil, fmt.Errorf("relay of %s: %w", e.VM, err)
		}
		e.announcedPeerAddress = e.PeerRelay.Address()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[e.VM] = e

	return e, nil
}

// StartEntry starts the process of an entry VM. If the entry VM had a process before,
// that process must have ended.
func (w *World) StartEntry(e *Entry) error {
	cert, key, err := w.authority.Issue(e.VM)
	if err != nil {
		return fmt.Errorf("certificate of %s: %w", e.VM, err)
	}
	var seeds []string
	for _, other := range w.Entries() {
		if other != e {
			seeds = append(seeds, other.announcedPeerAddress)
		}
	}
	args := []string{
		"entry", "--vm", e.VM, "--zone", e.Zone, "--region", e.Region, "--site", e.Site,
		"--lookup-address", e.LookupAddress, "--request-address", e.RequestAddress, "--peer-address", e.PeerAddress,
		"--carry-address", e.CarryAddress, "--operator-address", e.OperatorAddress,
		"--platform-url", "http://" + w.PlatformRelay.Address(), "--operator-tokens", w.tokensFile(),
		"--tls-cert", cert, "--tls-key", key, "--tls-ca", w.authority.CertFile,
		"--seed-peers", strings.Join(seeds, ","),
	}
	if w.EntryRelays {
		args = append(args, "--advertise-peer", e.PeerRelay.Address(), "--advertise-carry", e.CarryRelay.Address())
	}
	e.ChildProcess, err = startProcess(w.Dir, e.VM, w.EntryEnv, w.ProductBinary, append(args, w.EntryArgs...)...)

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

// EntriesIn returns the entry VMs of a region in the order of their names.
func (w *World) EntriesIn(region string) []*Entry {
	return slices.DeleteFunc(w.Entries(), func(e *Entry) bool { return e.Region != region })
}

// Health returns the state and configuration version of an entry VM, or false
// when it does not answer within 2 s.
func (w *World) Health(ctx context.Context, e *Entry) (entryapi.Health, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	client, err := entryapi.NewClient("http://" + e.LookupAddress)
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

// ConfigInForce reports whether all running entry VMs are live and use at least
// the given version of the configuration.
func (w *World) ConfigInForce(ctx context.Context, version int64) bool {
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

// PublishVMs sets the platform's list of VMs to the entry VMs that are running
// or not yet started. The platform answers with the new list after lagMs
// milliseconds.
func (w *World) PublishVMs(lagMs int) error {
	var vms []platform.VM
	for _, e := range w.Entries() {
		if e.ChildProcess == nil || e.Running() {
			vms = append(vms, platform.VM{Name: e.VM, Zone: e.Zone, PeerAddress: e.announcedPeerAddress})
		}
	}

	return load.CallControl(w.ctx, http.MethodPut, fmt.Sprintf("http://%s/lab/vms?lag-ms=%d", w.platformAddress(), lagMs), vms, nil)
}

// ApplyConfig runs `greengagetally config apply` on the folder dir; the error holds the
// output of the command.
func (w *World) ApplyConfig(ctx context.Context, dir string) error {
	var out bytes.Buffer
	var operators []string
	for _, e := range w.Entries() {
		operators = append(operators, e.OperatorAddress)
	}
	cmd := exec.CommandContext(ctx, w.ProductBinary, "config", "apply", "--operator-address", strings.Join(operators, ","),
		"--token-file", w.tokensFile(), "--tls-ca", w.authority.CertFile, "--message", "change by the laboratory", dir)
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("config apply: %w: %s", err, out.String())
	}

	return nil
}
