package caller

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// never stands for the time of something that has not happened or is not due.
const never = time.Duration(-1)

// timer is a time at which something is due for a request.
type timer struct {
	at      time.Duration
	request event.RequestID
}

// timers is a heap of timers, the earliest first. Timers of finished requests and
// timers that were replaced stay in the heap and are skipped when they expire.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface; equal times are ordered by request, so that
// every run handles them in the same order.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}

	return t[i].request < t[j].request
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]

	return x
}
