package folder

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

var (
	serviceKeys = []string{"hosts", "deadline", "class", "routes", "shift-cap", "serve", "finish-by"}
	routeKeys   = []string{"method", "path-prefix", "class", "idempotent"}
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT"}
)

// serveField is the undecoded key "serve" of a service; present is false if the service
// has no such key. The key is decoded after the backend servers, because a region can
// serve only if it has backend servers of the service.
type serveField struct {
	service string
	field   field
	present bool
}

// services decodes the services into config, except for the key "serve". It returns this
// key of each service undecoded.
func (d *decoder) services(f field, config model.Config) []serveField {
	var serves []serveField
	hosts := make(map[string]string)
	d.eachNamed(f, func(name string, f field) {
		fields := d.fields(name, f, serviceKeys, []string{"deadline", "shift-cap", "serve"})
		s := model.Service{
			Name:     name,
			Deadline: d.duration(fields, "deadline", minDeadline, maxDeadline),
			Class:    d.class(fields),
			Routes:   d.routes(fields),
			Shift:    d.shiftCap(fields),
			FinishBy: d.timeOfDay(fields, "finish-by"),
		}
		if finish, ok := fields["finish-by"]; ok && s.Class != model.ClassBulk {
			d.problems.add(finish.at.problem("finish-by", "the class bulk in a service that has this key"))
		}
		s.Hosts = d.hosts(fields, name, hosts)
		config.Services[name] = s
		serve, present := fields["serve"]
		serves = append(serves, serveField{service: name, field: serve, present: present})
	})

	return serves
}

// hosts returns the host names of a service and adds them to taken, which maps each host
// name found so far to its service. A host name may belong to one service only.
func (d *decoder) hosts(fields map[string]field, service string, taken map[string]string) []string {
	names, positions := d.list(fields, "hosts")
	for i, host := range names {
		if host == "" || host != strings.ToLower(host) || strings.ContainsAny(host, " /:") {
			d.problems.add(positions[i].problem(host, "a lower-case host name without port"))
		}
		if other, ok := taken[host]; ok {
			d.problems.add(positions[i].problem(host, "a host of one service only (also of "+other+")"))
		}
		taken[host] = service
	}

	return names
}

// class returns the class of requests, or short if the key is absent.
func (d *decoder) class(fields map[string]field) model.Class {
	text, at, ok := d.text(fields, "class")
	if !ok {
		return model.ClassShort
	}
	for _, class := range []model.Class{model.ClassShort, model.ClassLong, model.ClassBulk} {
		if class.String() == text {
			return class
		}
	}
	d.problems.add(at.problem(text, "one of the classes short, long, bulk"))

	return model.ClassShort
}

func (d *decoder) shiftCap(fields map[string]field) model.ShiftCap {
	f, ok := fields["shift-cap"]
	if !ok {
		return model.ShiftCap{}
	}
	keys := []string{"percent", "window"}
	inner := d.fields("shift-cap", f, keys, keys)

	return model.ShiftCap{
		Percent: d.percent(inner, "percent", 1, 100),
		Window:  d.duration(inner, "window", minWindow, maxWindow),
	}
}

func (d *decoder) routes(fields map[string]field) []model.Route {
	f, ok := fields["routes"]
	if !ok || !d.hasKind(f, sequence) {
		return nil
	}
	var out []model.Route
	for _, item := range f.value.items {
		inner := d.fields("route", field{at: item.at, value: item}, routeKeys, []string{"path-prefix"})
		r := model.Route{Class: d.class(inner)}
		if text, at, ok := d.text(inner, "method"); ok {
			r.Method = text
			if !slices.Contains(methods, text) {
				d.problems.add(at.problem(text, "one of the methods "+strings.Join(methods, ", ")))
			}
		}
		if text, at, ok := d.text(inner, "path-prefix"); ok {
			r.PathPrefix = text
			if !strings.HasPrefix(text, "/") {
				d.problems.add(at.problem(text, "a path that starts with /"))
			}
		}
		if idempotent, ok := d.boolean(inner, "idempotent"); ok {
			r.Idempotent = &idempotent
		}
		out = append(out, r)
	}

	return out
}

// serve decodes the key "serve" of one service into config. zones holds the region of
// each zone.
func (d *decoder) serve(undecoded serveField, config model.Config, zones map[string]string) {
	if !undecoded.present || !d.hasKind(undecoded.field, mapping) {
		return
	}
	regionsWithBackends := make(map[string]bool)
	for _, b := range config.Backends {
		if b.Service == undecoded.service {
			regionsWithBackends[zones[b.Zone]] = true
		}
	}
	byCaller := make(map[string]map[string]int)
	d.eachNamed(undecoded.field, func(callerRegion string, f field) {
		d.region(callerRegion, f.at, config)
		if !d.hasKind(f, mapping) {
			return
		}
		byCaller[callerRegion] = d.percentages(callerRegion, f, config, regionsWithBackends)
	})
	for _, region := range slices.Sorted(maps.Keys(config.Regions)) {
		if _, ok := undecoded.field.value.fields[region]; !ok {
			d.problems.add(undecoded.field.at.problem("serve", "percentages for callers of region "+region))
		}
	}
	s := config.Services[undecoded.service]
	s.Serve = byCaller
	config.Services[undecoded.service] = s
}

// percentages returns the percentages, by serving region, for callers of callerRegion.
// regionsWithBackends holds the regions that have backend servers of the service.
func (d *decoder) percentages(callerRegion string, f field, config model.Config, regionsWithBackends map[string]bool) map[string]int {
	totalPercent, problemsBefore := 0, d.problems.Total
	out := make(map[string]int)
	for _, servingRegion := range f.value.order {
		at := f.value.fields[servingRegion].at
		d.region(servingRegion, at, config)
		out[servingRegion] = d.percent(f.value.fields, servingRegion, 0, 100)
		totalPercent += out[servingRegion]
		if out[servingRegion] == 0 {
			continue
		}
		if !regionsWithBackends[servingRegion] {
			d.problems.add(at.problem(servingRegion, "a region with backend servers of this service"))
		}
		if _, ok := config.Links[model.LinkID{From: callerRegion, To: servingRegion}]; !ok && callerRegion != servingRegion {
			d.problems.add(at.problem(servingRegion, fmt.Sprintf("a link from %s to %s", callerRegion, servingRegion)))
		}
	}
	if totalPercent != 100 && d.problems.Total == problemsBefore {
		d.problems.add(f.at.problem(strconv.Itoa(totalPercent)+"%", "percentages that add up to 100%"))
	}

	return out
}
