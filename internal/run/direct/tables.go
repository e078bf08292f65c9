package direct

import (
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/run/mirror"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

// ordersChanged puts the operators' newest orders in force.
func (p *Process) ordersChanged(s mirror.Snapshot) {
	orders, err := p.deployment.OperatorConfig(s.Items)
	if err != nil {
		p.log.Warn("an order cannot be read, the others hold", zap.Uint64("revision", s.Revision), zap.Error(err))
	}
	old := p.intent.Load()
	if orders.Intent != nil && (old == nil || orders.Intent.Version > old.Version) {
		p.intent.Store(orders.Intent)
		p.apply(steer.IntentChanged{At: p.at(), Intent: orders.Intent})
		p.log.Info("configuration in force", zap.Uint64("version", orders.Intent.Version), zap.Uint64("revision", s.Revision))
	}
	p.apply(steer.EvacuatedZonesChanged{At: p.at(), Zones: orders.EvacuatedZones})
	p.log.Info("evacuated zones known", zap.Int("zones", orders.EvacuatedZones.Len()), zap.Uint64("revision", s.Revision))
}

func (p *Process) serversChanged(s mirror.Snapshot) {
	servers, err := p.deployment.Servers(s.Items)
	if err != nil {
		p.log.Warn("entries of backend servers cannot be read, the others hold", zap.Uint64("revision", s.Revision), zap.Error(err))
	}
	leaving := 0
	addresses := make(map[string]string, len(servers))
	for _, server := range servers {
		addresses[server.ID] = server.Address
		if server.Leaving {
			leaving++
		}
	}
	p.addresses.Store(&addresses)
	p.apply(steer.ServersChanged{At: p.at(), Servers: servers})
	p.log.Info("backend servers known", zap.Int("servers", len(servers)), zap.Int("leaving", leaving), zap.Uint64("revision", s.Revision))
}

func (p *Process) entriesChanged(s mirror.Snapshot) {
	entries, err := p.deployment.EntryVMs(s.Items)
	if err != nil {
		p.log.Warn("entry VMs in the store cannot be read, the others hold", zap.Uint64("revision", s.Revision), zap.Error(err))
	}
	p.setMembers(entries)
	p.log.Info("entry VMs known", zap.Int("entries", len(entries)), zap.Uint64("revision", s.Revision))
}

// tableCopy returns the encoded changes of a table since a revision for another
// entry VM.
func (p *Process) tableCopy(name string, since uint64) ([]byte, bool) {
	m, ok := p.mirrors[name]
	if !ok || !m.Loaded() {
		return nil, false
	}
	data, err := cbor.Marshal(m.Since(since))
	if err != nil {
		p.log.Error("cannot encode a table for an entry VM", zap.String("table", name), zap.Error(err))

		return nil, false
	}

	return data, true
}
