// Package fair orders waiting requests so that customers share what is scarce by their
// weights. It is start-time fair queueing (Goyal, Vin and Cheng) with two changes. Requests
// may be served out of order, since each waits for servers of its own, so a customer is
// charged when a request is served; those that leave cost nothing. Service in progress is
// counted apart, so that a customer that holds all of it waits until others hold as much.
//
// Classes are served one after the other, but a small part of the service goes to the
// classes that would otherwise get none.
package fair

import (
	"cmp"
	"math"
	"slices"
)

// turnShare is the part of the service that goes to waiting classes other than the most
// urgent one. It is small since whoever set a class wants it kept, and divides evenly among
// the classes that wait.
const turnShare = 0.125

// Class is the urgency of a request: that of its customer is compared before that of its
// route. Lower numbers are more urgent.
type Class struct {
	Customer, Route int
}

// Compare orders classes, the more urgent first.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Customer, other.Customer), cmp.Compare(c.Route, other.Route))
}

// Item is what the order of a request depends on, besides its arrival.
type Item struct {
	Class    Class
	Customer string
	// Weight is the customer's share of the service relative to others, above 0.
	Weight float64
	// Length is the service that the request needs, above 0.
	Length float64
}

// cost returns the service for the request relative to the customer's weight.
func (i Item) cost() float64 {
	return i.Length / i.Weight
}

// Period is a time in which requests of a class wait without a break, 0 for none.
type Period int

// class is what is known of a class in a period.
type class struct {
	period Period
	// waiting is the number of waiting requests by customer.
	waiting map[string]int
	// finished is the service that has ended, by customer and relative to its weight. A
	// customer that starts to wait is set to the virtual time at least, so that no customer
	// saves up service.
	finished map[string]float64
	// virtual is the virtual time: the least that a waiting customer has been served.
	virtual float64
	// credit is the service that the class may have before more urgent classes.
	credit float64
}

func (c *class) advance() {
	if len(c.waiting) == 0 {
		return
	}
	least := math.Inf(1)
	for customer := range c.waiting {
		least = min(least, c.finished[customer])
	}
	c.virtual = max(c.virtual, least)
}

// held is service in progress.
type held struct {
	requests int
	cost     float64
}

// Shares accounts for the service that customers get while requests wait. The zero value
// is ready for use.
type Shares struct {
	classes map[Class]*class
	// held is the service in progress by customer.
	held map[string]held
	// lastPeriod is the newest period.
	lastPeriod Period
}

// Push notes that a request starts to wait.
func (s *Shares) Push(i Item) {
	c, ok := s.classes[i.Class]
	if !ok {
		if s.classes == nil {
			s.classes = map[Class]*class{}
		}
		s.lastPeriod++
		c = &class{period: s.lastPeriod, waiting: map[string]int{}, finished: map[string]float64{}}
		s.classes[i.Class] = c
	}
	if c.waiting[i.Customer] == 0 {
		c.finished[i.Customer] = max(c.finished[i.Customer], c.virtual)
	}
	c.waiting[i.Customer]++
	c.advance()
}

// Remove notes that a request waits no longer, whether or not it is served. A class in
// which no request waits is forgotten.
func (s *Shares) Remove(i Item) {
	c, ok := s.classes[i.Class]
	if !ok {
		return
	}
	if c.waiting[i.Customer]--; c.waiting[i.Customer] <= 0 {
		delete(c.waiting, i.Customer)
	}
	if len(c.waiting) == 0 {
		delete(s.classes, i.Class)

		return
	}
	c.advance()
}

// Serve notes that the service of a request begins, whether or not it has waited. It
// returns the period in which it begins.
func (s *Shares) Serve(i Item) Period {
	if s.held == nil {
		s.held = map[string]held{}
	}
	h := s.held[i.Customer]
	s.held[i.Customer] = held{requests: h.requests + 1, cost: h.cost + i.cost()}
	if len(s.classes) > 0 {
		s.credit(i, s.credits())
	}
	if c, ok := s.classes[i.Class]; ok {
		return c.period
	}

	return 0
}

// Finish notes that the service of a request ends. It is charged if it has been served and
// began in the current period of the class: before, the service was not scarce.
func (s *Shares) Finish(i Item, began Period, served bool) {
	if h := s.held[i.Customer]; h.requests > 1 {
		s.held[i.Customer] = held{requests: h.requests - 1, cost: max(h.cost-i.cost(), 0)}
	} else {
		delete(s.held, i.Customer)
	}
	if c, ok := s.classes[i.Class]; ok && served && c.period == began {
		c.finished[i.Customer] += i.cost()
		c.advance()
	}
}

// credits returns the classes in which requests wait with their credit, the most urgent
// first.
func (s *Shares) credits() []credited {
	out := make([]credited, 0, len(s.classes))
	for level, c := range s.classes {
		out = append(out, credited{class: level, credit: c.credit})
	}
	slices.SortFunc(out, func(a, b credited) int { return a.class.Compare(b.class) })

	return out
}

// credited is a class with its credit.
type credited struct {
	class  Class
	credit float64
}

// credit stores the credits after the service of a request.
func (s *Shares) credit(i Item, credits []credited) {
	serve(i, credits)
	for _, c := range credits {
		s.classes[c.class].credit = c.credit
	}
}

// serve changes credits by the service of a request: it uses up that of its own class, and
// less urgent classes earn their turn.
func serve(i Item, credits []credited) {
	after := 0
	for _, c := range credits {
		if c.class.Compare(i.Class) > 0 {
			after++
		}
	}
	for at := range credits {
		switch order := credits[at].class.Compare(i.Class); {
		case order == 0:
			credits[at].credit = max(credits[at].credit-i.Length, 0)
		case order > 0:
			credits[at].credit += i.Length * turnShare / (1 - turnShare) / float64(after)
		}
	}
}

// Order returns the indexes of waiting requests in the order in which they should be
// served. items are sorted by class and then by arrival.
func (s *Shares) Order(items []Item) []int {
	byClass := make([][]int, 0, len(s.classes)+1)
	credits := make([]credited, 0, len(s.classes)+1)
	for from := 0; from < len(items); {
		to := from + 1
		for to < len(items) && items[to].Class == items[from].Class {
			to++
		}
		level := credited{class: items[from].Class}
		if c, ok := s.classes[level.class]; ok {
			level.credit = c.credit
		}
		credits = append(credits, level)
		byClass = append(byClass, s.orderClass(items, from, to))
		from = to
	}

	return merge(items, byClass, credits)
}

// orderClass returns the indexes from..to of requests of one class in the order of their
// start tags: a customer's request starts where its earlier ones end.
func (s *Shares) orderClass(items []Item, from, to int) []int {
	c, ok := s.classes[items[from].Class]
	if !ok {
		c = &class{}
	}
	next := make(map[string]float64, len(c.waiting)+1)
	starts := make([]float64, to-from)
	out := make([]int, to-from)
	for at := from; at < to; at++ {
		start, known := next[items[at].Customer]
		if !known {
			start = max(c.finished[items[at].Customer], c.virtual) + s.held[items[at].Customer].cost
		}
		next[items[at].Customer] = start + items[at].cost()
		starts[at-from], out[at-from] = start, at
	}
	slices.SortFunc(out, func(a, b int) int { return cmp.Or(cmp.Compare(starts[a-from], starts[b-from]), cmp.Compare(a, b)) })

	return out
}

// merge puts the requests of all classes in one order: the most urgent class first, and
// between its requests those of other classes whose credit pays for them.
func merge(items []Item, byClass [][]int, credits []credited) []int {
	if len(byClass) == 1 {
		return byClass[0]
	}
	out := make([]int, 0, len(items))
	for len(byClass) > 0 {
		turn := 0
		for at := 1; at < len(byClass); at++ {
			if credits[at].credit >= items[byClass[at][0]].Length {
				turn = at

				break
			}
		}
		next := byClass[turn][0]
		out = append(out, next)
		serve(items[next], credits)
		if byClass[turn] = byClass[turn][1:]; len(byClass[turn]) == 0 {
			byClass, credits = slices.Delete(byClass, turn, turn+1), slices.Delete(credits, turn, turn+1)
		}
	}

	return out
}

// Demand is the part of a service that the requests of a customer need.
type Demand struct {
	Class    Class
	Customer string
	// Weight is as in Item.
	Weight float64
	Amount float64
}

// Divide returns the share of each demand in a service that is asked for ratio times what it
// can do: of what the demands before it leave, in proportion to the weights. More urgent
// classes come first, in a class those that need least relative to their weights. Divide
// sorts the demands in this order.
func Divide(demands []Demand, ratio float64) []float64 {
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(a.Class.Compare(b.Class), cmp.Compare(a.Amount/a.Weight, b.Amount/b.Weight), cmp.Compare(a.Customer, b.Customer))
	})
	shares := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.Amount
	}
	capacity := total / ratio
	left := capacity
	for from := 0; from < len(demands); {
		to, weights := from, 0.0
		for to < len(demands) && demands[to].Class == demands[from].Class {
			weights += demands[to].Weight
			to++
		}
		left = max(left, turnShare*capacity)
		for ; from < to; from++ {
			shares[from] = left * demands[from].Weight / weights
			left -= min(demands[from].Amount, shares[from])
			weights -= demands[from].Weight
		}
	}

	return shares
}
