package folder

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/value/set"
)

// topLevelKeys are the keys that a file may have at its top level.
var topLevelKeys = []string{"regions", "sites", "links", "services", "backends", "leaving"}

// config decodes the merged YAML files, which hold everything except the client blocks.
func (d *decoder) config(root *node) model.Config {
	fields := d.fields("", field{value: root}, topLevelKeys, nil)
	config := model.Config{
		Regions:  make(map[string]model.Region),
		Sites:    make(map[string]model.Site),
		Links:    make(map[model.LinkID]model.Link),
		Services: make(map[string]model.Service),
		Backends: make(map[string]model.Backend),
		Leaving:  set.New[string](),
	}
	zones := d.regions(fields["regions"], config)
	d.sites(fields["sites"], config, zones)
	d.links(fields["links"], config)
	services := d.services(fields["services"], config)
	d.backends(fields["backends"], config, zones)
	config.Leaving = d.leaving(fields["leaving"])
	for _, s := range services {
		d.serve(s, config, zones)
	}

	return config
}

// regions decodes the regions into config and returns the region name of each zone.
func (d *decoder) regions(f field, config model.Config) map[string]string {
	zones := make(map[string]string)
	d.eachNamed(f, func(name string, f field) {
		fields := d.fields(name, f, []string{"zones"}, []string{"zones"})
		names, at := d.list(fields, "zones")
		if zonesField, ok := fields["zones"]; ok && zonesField.value.kind == sequence && len(names) == 0 {
			d.problems.add(zonesField.value.at.problem("[]", "at least one availability zone"))
		}
		for i, zone := range names {
			d.name(zone, at[i])
			if other, taken := zones[zone]; taken {
				d.problems.add(at[i].problem(zone, "a zone in one region only (also in "+other+")"))

				continue
			}
			zones[zone] = name
		}
		config.Regions[name] = model.Region{Name: name, Zones: names}
	})

	return zones
}

// sites decodes the sites into config.
func (d *decoder) sites(f field, config model.Config, zones map[string]string) {
	d.eachNamed(f, func(name string, f field) {
		fields := d.fields(name, f, []string{"zone"}, []string{"zone"})
		if _, taken := config.Regions[name]; taken {
			d.problems.add(f.at.problem(name, "a site name that no region has"))
		}
		config.Sites[name] = model.Site{Name: name, Zone: d.reference(fields, "zone", "a zone of a region", zones)}
	})
}

// reference returns the scalar at key, which must be one of the keys of names.
// description says in a problem what these names are.
func (d *decoder) reference(fields map[string]field, key, description string, names map[string]string) string {
	text, at, ok := d.text(fields, key)
	if !ok {
		return ""
	}
	if _, exists := names[text]; !exists {
		d.problems.add(at.problem(text, description+": "+listNames(slices.Sorted(maps.Keys(names)))))
	}

	return text
}

// listNames returns the first maxNames names as text for a problem; names must be
// sorted.
func listNames(names []string) string {
	const maxNames = 12
	if len(names) == 0 {
		return "none is defined"
	}
	if len(names) > maxNames {
		return strings.Join(names[:maxNames], ", ") + ", ..."
	}

	return strings.Join(names, ", ")
}

// links decodes the links into config.
func (d *decoder) links(f field, config model.Config) {
	d.eachNamed(f, func(from string, f field) {
		d.region(from, f.at, config)
		d.eachNamed(f, func(to string, f field) {
			d.region(to, f.at, config)
			if from == to {
				d.problems.add(f.at.problem(to, "another region than "+from))
			}
			fields := d.fields(to, f, []string{"limit", "headroom"}, []string{"limit"})
			id := model.LinkID{From: from, To: to}
			config.Links[id] = model.Link{
				ID: id, LimitBits: d.bitsPerSecond(fields, "limit"), HeadroomPercent: d.percent(fields, "headroom", 0, 90),
			}
		})
	})
}

// region checks that a region of this name exists.
func (d *decoder) region(name string, at position, config model.Config) {
	if _, ok := config.Regions[name]; !ok {
		d.problems.add(at.problem(name, "a region: "+listNames(slices.Sorted(maps.Keys(config.Regions)))))
	}
}

// Upper bounds of the slots and connections of a backend server. They are far above
// what one server can run, and catch mistakes such as too many zeros.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
)

// backends decodes the backend servers into config.
func (d *decoder) backends(f field, config model.Config, zones map[string]string) {
	keys := []string{"service", "zone", "address", "slots", "connections"}
	services := make(map[string]string, len(config.Services))
	for name := range config.Services {
		services[name] = name
	}
	addresses := make(map[netip.AddrPort]string)
	d.eachNamed(f, func(name string, f field) {
		fields := d.fields(name, f, keys, keys)
		b := model.Backend{
			Name:    name,
			Service: d.reference(fields, "service", "a service", services),
			Zone:    d.reference(fields, "zone", "a zone of a region", zones),
			Slots:   d.integer(fields, "slots", 1, maxSlots),
		}
		var at position
		b.Address, at = d.address(fields, "address")
		if other, taken := addresses[b.Address]; taken && b.Address.IsValid() {
			d.problems.add(at.problem(b.Address.String(), "an address that no other backend server has (also "+other+")"))
		}
		addresses[b.Address] = name
		b.Connections = d.integer(fields, "connections", 1, maxConnections)
		config.Backends[name] = b
	})
}

// leaving returns the names that are set to true. It accepts names that no backend
// server has, because entry VMs can leave too and are not in the configuration.
func (d *decoder) leaving(f field) set.Set[string] {
	var names []string
	if f.value == nil || !d.hasKind(f, mapping) {
		return set.New[string]()
	}
	for _, name := range f.value.order {
		d.name(name, f.value.fields[name].at)
		if leaves, _ := d.boolean(f.value.fields, name); leaves {
			names = append(names, name)
		}
	}

	return set.New(names...)
}

// Bounds of the deadline of a service and of the window of its shift cap.
const (
	minDeadline = time.Millisecond
	maxDeadline = 24 * time.Hour
	minWindow   = time.Second
	maxWindow   = 24 * time.Hour
)
