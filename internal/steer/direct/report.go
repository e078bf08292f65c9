package direct

import "maps"

// Report returns what the other entry VMs should know.
func (s State) Report() Report {
	r := Report{InFlight: map[uint32]int{}, Suspects: s.suspects.counts(), Demand: map[string]float64{}, Region: s.settings.Region}
	for _, c := range s.servers {
		if c.held > 0 {
			r.InFlight[c.key] = c.held
		}
		if s.now < c.lost {
			r.Lost = append(r.Lost, c.key)
		}
	}
	for service, d := range s.demands {
		r.Demand[service] = d.slots.Value()
	}

	return r
}

// SumReports returns what the entry VMs of a region report together.
func SumReports(region string, reports []Report) Report {
	sum := Report{InFlight: map[uint32]int{}, Suspects: map[uint64]int{}, Demand: map[string]float64{}, Region: region}
	for _, of := range reports {
		for key, n := range of.InFlight {
			sum.InFlight[key] += n
		}
		sum.Lost = append(sum.Lost, of.Lost...)
		for fingerprint, lost := range of.Suspects {
			sum.Suspects[fingerprint] = max(sum.Suspects[fingerprint], lost)
		}
		for service, slots := range of.Demand {
			sum.Demand[service] += slots
		}
	}

	return sum
}

// Without returns the sum of a region without the part of one entry VM. Losses and
// suspects stay, as they are known by then.
func (r Report) Without(part Report) Report {
	r.InFlight, r.Demand = maps.Clone(r.InFlight), maps.Clone(r.Demand)
	for key, n := range part.InFlight {
		if r.InFlight[key] -= n; r.InFlight[key] <= 0 {
			delete(r.InFlight, key)
		}
	}
	for service, slots := range part.Demand {
		r.Demand[service] = max(r.Demand[service]-slots, 0)
	}

	return r
}
