package direct

import (
	"maps"
	"slices"
)

// Report returns what this entry VM tells the others.
func (s State) Report() Report {
	r := Report{InFlight: map[uint32]int{}, Suspects: s.suspects.lossesToReport(s.now), Demand: map[string]float64{}, Region: s.settings.Region}
	for _, servers := range s.byService {
		for _, srv := range servers {
			if srv.ownPortions > 0 {
				r.InFlight[srv.key] = srv.ownPortions
			}
			if s.now < srv.reportLostUntil {
				r.Lost = append(r.Lost, srv.key)
			}
			if s.now < srv.reportLeavingUntil {
				r.Leaving = append(r.Leaving, srv.incarnation)
			}
		}
	}
	for _, srv := range s.unlisted {
		if s.now < srv.reportLeavingUntil {
			r.Leaving = append(r.Leaving, srv.incarnation)
		}
	}
	for service, d := range s.demands {
		r.Demand[service] = d.slots.Value()
	}
	r.Waiting = map[string][]uint32{}
	for service, q := range s.queues {
		if len(q.waiting) > 0 {
			r.Waiting[service] = []uint32{Key(s.settings.Name)}
		}
	}

	return r
}

// SumReports returns the sum of the reports of a region's entry VMs.
func SumReports(region string, reports []Report) Report {
	sum := Report{InFlight: map[uint32]int{}, Suspects: map[uint64][]Incarnation{}, Demand: map[string]float64{}, Waiting: map[string][]uint32{}, Region: region}
	for _, report := range reports {
		for key, n := range report.InFlight {
			sum.InFlight[key] += n
		}
		sum.Lost = append(sum.Lost, report.Lost...)
		sum.Leaving = append(sum.Leaving, report.Leaving...)
		mergeLosses(sum.Suspects, report.Suspects)
		for service, keys := range report.Waiting {
			sum.Waiting[service] = append(sum.Waiting[service], keys...)
		}
		for service, slots := range report.Demand {
			sum.Demand[service] += slots
		}
	}

	// Most reports name the same servers.
	slices.Sort(sum.Leaving)
	sum.Leaving = slices.Compact(sum.Leaving)

	return sum
}

// Without returns the sum r without ownReport, the report of the entry VM that uses the
// result. Lost, Leaving and Suspects stay as they are, because that entry VM already knows
// what its own report says there.
func (r Report) Without(ownReport Report) Report {
	r.InFlight, r.Demand = maps.Clone(r.InFlight), maps.Clone(r.Demand)
	for key, n := range ownReport.InFlight {
		if sum, ok := r.InFlight[key]; ok && sum > n {
			r.InFlight[key] = sum - n
		} else {
			delete(r.InFlight, key)
		}
	}
	for service, slots := range ownReport.Demand {
		if sum, ok := r.Demand[service]; ok {
			r.Demand[service] = max(sum-slots, 0)
		}
	}

	return r
}
