package link

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

const (
	day = 24 * time.Hour
	// rateWindow is the time over which a service's present rate is measured.
	rateWindow = 10 * time.Second
	// Bulk work should be done finishMargin before its finishing time, because the
	// rate may fall.
	finishMargin = 10 * time.Minute
)

// service holds how fast a service sends and by when its bulk work must be done.
type service struct {
	// finishBy is the time of day in UTC by which bulk work must be done, or -1 if
	// the service has no finishing time.
	finishBy time.Duration
	// backlog is how many bytes the service will send in addition to its waiting
	// streams, or 0 if that is unknown.
	backlog int64
	// raised is true while the service's bulk work goes to the short queue.
	raised bool
	// decayedAt is when the method decay last reduced the field bytes.
	decayedAt time.Duration
	// bytes estimates how much was granted to all classes in the last rateWindow.
	bytes float64
}

// service returns the state of a service. It adds a state without a finishing time
// for a new service.
func (c *core) service(name string) *service {
	sv, ok := c.services[name]
	if !ok {
		sv = &service{finishBy: -1}
		c.services[name] = sv
	}

	return sv
}

// configure sets the finishing times of the services in a configuration.
func (c *core) configure(config *model.Config) {
	for name, s := range config.Services {
		c.service(name).finishBy = -1
		if s.FinishBy >= 0 {
			c.service(name).finishBy = time.Duration(s.FinishBy) * time.Minute
		}
	}
}

// WithMidnight sets when the present day began in UTC, as a time since the process
// started. The time is negative if the process started today.
func (s State) WithMidnight(midnight time.Duration) State {
	s.c.midnight = midnight

	return s
}

// WithBacklog sets how many bytes a service will send in addition to its waiting
// streams; 0 means that the number is unknown.
func (s State) WithBacklog(name string, bytes int64) State {
	s.c.service(name).backlog = bytes

	return s
}

func (sv *service) countSent(n int64, now time.Duration) {
	sv.decay(now)
	sv.bytes += float64(n)
}

// decay reduces the field bytes in proportion to the part of rateWindow that has
// passed since the last call.
func (sv *service) decay(now time.Duration) {
	sv.bytes *= max(0, 1-float64(now-sv.decayedAt)/float64(rateWindow))
	sv.decayedAt = now
}

// raiseLateBulk raises each service whose bulk work would not finish in time at the
// service's present rate: the bulk work moves to the short queue. The service stays
// raised until none of its bulk work waits and no backlog is known, or until it has
// no finishing time.
func (c *core) raiseLateBulk() {
	waiting := map[*service]int64{}
	for _, l := range c.links {
		for _, q := range l.queues {
			for _, st := range q {
				if st.class == model.ClassBulk {
					waiting[st.service] += st.bytes
				}
			}
		}
	}
	for _, sv := range c.services {
		bytes, waits := waiting[sv]
		switch {
		case sv.finishBy < 0 || (!waits && sv.backlog == 0):
			sv.raised = false
		case !sv.raised:
			sv.raised = c.tooSlow(sv, bytes+sv.backlog)
		}
	}
	for _, l := range c.links {
		l.moveRaised()
	}
}

// tooSlow reports whether the service, at its present rate, would not send the given
// bytes by the deadline, which is finishMargin before the next daily finishing time.
// Between the deadline and the finishing time it returns true. It returns false while
// the deadline is half a day or more away.
func (c *core) tooSlow(sv *service, bytes int64) bool {
	remaining := ((sv.finishBy-(c.now-c.midnight))%day+day)%day - finishMargin
	if remaining <= 0 {
		return true
	}
	sv.decay(c.now)

	return sv.bytes/rateWindow.Seconds()*remaining.Seconds() < float64(bytes) && remaining < day/2
}

// moveRaised moves the bulk streams of raised services to the end of the short queue.
func (l *linkState) moveRaised() {
	bulk := l.queues[model.ClassBulk]
	var kept []*stream
	for _, st := range bulk {
		if st.service.raised {
			l.queues[model.ClassShort] = append(l.queues[model.ClassShort], st)
		} else {
			kept = append(kept, st)
		}
	}
	l.queues[model.ClassBulk] = kept
}

// meterInterval is the resolution of a meter.
const meterInterval = 100 * time.Millisecond

// meter counts the bytes of the last second.
type meter struct {
	intervals [10]int64 // ring buffer of the bytes in each interval
	newest    int64     // number of the newest interval since the process started
}

// advance clears the intervals that have begun since the last call.
func (m *meter) advance(now time.Duration) {
	interval := int64(now / meterInterval)
	for range min(interval-m.newest, int64(len(m.intervals))) {
		m.newest++
		m.intervals[m.newest%int64(len(m.intervals))] = 0
	}
	m.newest = interval
}

func (m *meter) add(n int64, now time.Duration) {
	m.advance(now)
	m.intervals[m.newest%int64(len(m.intervals))] += n
}

func (m *meter) lastSecond(now time.Duration) int64 {
	m.advance(now)
	sum := int64(0)
	for _, n := range m.intervals {
		sum += n
	}

	return sum
}
