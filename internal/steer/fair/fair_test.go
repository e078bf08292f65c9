package fair_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagetally/greengagetally/internal/steer/fair"
)

// line is a queue of requests in order of class and arrival.
type line struct {
	shares fair.Shares
	items  []fair.Item
}

func (l *line) push(i fair.Item) {
	l.shares.Push(i)
	l.items = append(l.items, i)
	slices.SortStableFunc(l.items, func(a, b fair.Item) int { return a.Class.Compare(b.Class) })
}

func (l *line) remove(at int) fair.Item {
	i := l.items[at]
	l.items = slices.Delete(l.items, at, at+1)
	l.shares.Remove(i)

	return i
}

// serve serves the request that is next.
func (l *line) serve() fair.Item {
	i := l.remove(l.shares.Order(l.items)[0])
	l.shares.Finish(i, l.shares.Serve(i), true)

	return i
}

// Guards against a customer with waiting requests that gets less than its share, whatever
// the others ask for and however many of its requests leave.
func TestNobodyFallsBehindItsShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		weights, total, longest := make([]float64, n), 0.0, 0.0
		item := func(c int) fair.Item {
			length := float64(rapid.IntRange(1, 8).Draw(t, "length"))
			longest = max(longest, length)

			return fair.Item{Customer: fmt.Sprint(c), Weight: weights[c], Length: length}
		}
		l := &line{}
		for c := range n {
			weights[c] = float64(rapid.IntRange(1, 10).Draw(t, "weight"))
			total += weights[c]
			for range rapid.IntRange(2, 20).Draw(t, "waiting") {
				l.push(item(c))
			}
		}
		served, all := make([]float64, n), 0.0
		for range 200 {
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				at := rapid.IntRange(0, len(l.items)-1).Draw(t, "at")
				l.push(l.items[at])
				l.remove(at)
			}
			i := l.serve()
			var c int
			_, err := fmt.Sscan(i.Customer, &c)
			require.NoError(t, err)
			served[c] += i.Length
			all += i.Length
			l.push(item(c))
		}
		for c := range n {
			require.GreaterOrEqual(t, served[c], all*weights[c]/total-float64(n)*longest, "customer %d", c)
		}
	})
}

// Guards against an order other than that of arrival among the requests of one customer.
func TestOneCustomerIsServedInOrderOfArrival(t *testing.T) {
	t.Parallel()
	l := &line{}
	for n := range 10 {
		l.push(fair.Item{Weight: 1, Length: float64(1 + n%3)})
		require.Equal(t, n, l.shares.Order(l.items)[n])
	}
}

// Guards against a customer that keeps all of the service that it has when the others start
// to wait.
func TestHoldersWait(t *testing.T) {
	t.Parallel()
	l := &line{}
	item := func(customer string) fair.Item { return fair.Item{Customer: customer, Weight: 1, Length: 1} }
	for range 4 {
		l.shares.Serve(item("hot"))
	}
	for _, customer := range []string{"hot", "hot", "calm", "calm", "calm"} {
		l.push(item(customer))
	}
	// The others get what becomes free until they hold as much.
	for _, next := range []string{"calm", "calm", "hot"} {
		l.shares.Finish(item("hot"), 0, true)
		at := l.shares.Order(l.items)[0]
		require.Equal(t, next, l.items[at].Customer)
		l.shares.Serve(l.remove(at))
	}
}

// Guards against a charge for service that a server refused.
func TestWhatWasNotServedCostsNothing(t *testing.T) {
	t.Parallel()
	l := &line{}
	item := func(customer string) fair.Item { return fair.Item{Customer: customer, Weight: 1, Length: 1} }
	for _, customer := range []string{"a", "b", "a", "b"} {
		l.push(item(customer))
	}
	for range 5 {
		l.shares.Finish(item("a"), l.shares.Serve(item("a")), false)
	}
	require.Equal(t, []int{0, 1, 2, 3}, l.shares.Order(l.items))
}

// Guards against an urgent class that takes all of the service, and against one that gives
// away more than a small part.
func TestEveryClassGetsATurn(t *testing.T) {
	t.Parallel()
	l := &line{}
	classes := []fair.Class{{}, {Route: 1}, {Customer: 1}}
	for _, class := range classes {
		for range 3 {
			l.push(fair.Item{Class: class, Customer: "c", Weight: 1, Length: 1})
		}
	}
	turns := map[fair.Class]int{}
	for range 160 {
		i := l.serve()
		turns[i.Class]++
		l.push(i)
	}
	require.InDelta(t, 140, turns[classes[0]], 1)
	require.InDelta(t, 10, turns[classes[1]], 1)
	require.InDelta(t, 10, turns[classes[2]], 1)
}

// Guards against shares that count what a customer does not need.
func TestDivideGivesTheRestToThoseInNeed(t *testing.T) {
	t.Parallel()
	demands := []fair.Demand{{Customer: "hot", Weight: 2, Amount: 22}, {Customer: "small", Weight: 1, Amount: 1}, {Customer: "large", Weight: 2, Amount: 7}}
	require.Equal(t, []float64{3, 7, 7}, fair.Divide(demands, 2))
	require.Equal(t, "hot", demands[2].Customer)
}
