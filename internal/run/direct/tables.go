package direct

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/value/table"
)

// operatorConfigChanged applies a new copy of the operators' configuration: its
// evacuated zones, and its Intent if the version of that Intent is newer than the
// version in force.
func (p *Process) operatorConfigChanged(snapshot mirror.Snapshot) {
	config, err := p.deployment.OperatorConfig(snapshot.Items)
	if err != nil {
		p.log.Warn("an order cannot be read, the others hold", zap.Uint64("revision", snapshot.Revision), zap.Error(err))
	}
	old := p.intent.Load()
	// The store may have come back from an older copy; a key that was removed since must not
	// return with it.
	behind := config.Intent != nil && old != nil && config.Intent.Version < old.Version
	p.mirrors[TableOperatorConfig].SetBehind(behind)
	if behind {
		p.log.Warn("configuration in the store is older than the one in force, waiting for it to be written again",
			zap.Uint64("version", config.Intent.Version), zap.Uint64("in-force", old.Version), zap.Uint64("era", snapshot.Era))
	}
	isNewer := config.Intent != nil && (old == nil || config.Intent.Version > old.Version)
	if isNewer {
		p.intent.Store(config.Intent)
	}
	p.configurationApplied(snapshot.Version())
	if isNewer {
		p.quotas.setLimits(p.clock.Now(), config.Intent)
		p.apply(steer.IntentChanged{At: p.eventTime(), Intent: config.Intent})
		p.log.Info("configuration in force", zap.Uint64("version", config.Intent.Version), zap.Uint64("revision", snapshot.Revision))
	}
	p.apply(steer.EvacuatedZonesChanged{At: p.eventTime(), Zones: config.EvacuatedZones})
	p.log.Info("evacuated zones known", zap.Int("zones", config.EvacuatedZones.Len()), zap.Uint64("revision", snapshot.Revision))
}

// serversChanged applies a new copy of the list of backend servers.
func (p *Process) serversChanged(snapshot mirror.Snapshot) {
	servers, err := p.deployment.Servers(snapshot.Items)
	if err != nil {
		p.log.Warn("entries of backend servers cannot be read, the others hold", zap.Uint64("revision", snapshot.Revision), zap.Error(err))
	}
	leaving := 0
	serverAddresses := make(map[string]string, len(servers))
	for _, server := range servers {
		serverAddresses[server.ID] = server.Address
		if server.Leaving {
			leaving++
		}
	}
	p.serverAddresses.Store(&serverAddresses)
	p.apply(steer.ServersChanged{At: p.eventTime(), Servers: servers})
	p.log.Info("backend servers known", zap.Int("servers", len(servers)), zap.Int("leaving", leaving), zap.Uint64("revision", snapshot.Revision))
}

// entryVMsChanged applies a new copy of the list of entry VMs.
func (p *Process) entryVMsChanged(snapshot mirror.Snapshot) {
	entryVMs, err := p.deployment.EntryVMs(snapshot.Items)
	if err != nil {
		p.log.Warn("entry VMs in the store cannot be read, the others hold", zap.Uint64("revision", snapshot.Revision), zap.Error(err))
	}
	p.updatePeers(entryVMs)
	p.log.Info("entry VMs known", zap.Int("entries", len(entryVMs)), zap.Uint64("revision", snapshot.Revision))
}

// encodeChanges returns what changed in the named table after a version, encoded as
// CBOR for another entry VM. It returns false when there is no newer copy of the table or
// the encoding fails.
func (p *Process) encodeChanges(name string, since table.Version) ([]byte, bool) {
	m, ok := p.mirrors[name]
	if !ok {
		return nil, false
	}
	if version, loaded := m.Version(); !loaded || !since.Before(version) {
		return nil, false
	}
	data, err := cbor.Marshal(m.ChangesSince(since))
	if err != nil {
		p.log.Error("cannot encode a table for an entry VM", zap.String("table", name), zap.Error(err))

		return nil, false
	}

	return data, true
}
