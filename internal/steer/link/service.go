package link

import (
	"time"

	"github.com/greengagetally/greengagetally/internal/config/model"
)

const (
	day = 24 * time.Hour
	// rateWindow is the time over which a service's present rate is measured.
	rateWindow = 10 * time.Second
	// finishMargin is kept before the finishing time, because the rate may fall.
	finishMargin = 10 * time.Minute
)

// service tells how fast a service sends and by when its bulk work must be done.
type service struct {
	// finishBy is the time of day in UTC at which the work must be done, or -1.
	finishBy time.Duration
	// backlog is how many bytes the service still has to send besides those that
	// wait, or 0 when that is not known.
	backlog int64
	// raised is true while the service's bulk work is granted as short work.
	raised bool
	// decayedAt is when bytes was last brought up to date.
	decayedAt time.Duration
	bytes     float64 // granted in the last rateWindow to all classes, decaying
}

// service returns the state of a service, which starts without a finishing time.
func (c *core) service(name string) *service {
	sv, ok := c.services[name]
	if !ok {
		sv = &service{finishBy: -1}
		c.services[name] = sv
	}

	return sv
}

// configure takes the finishing times of a configuration.
func (c *core) configure(config *model.Config) {
	for name, s := range config.Services {
		c.service(name).finishBy = -1
		if s.FinishBy >= 0 {
			c.service(name).finishBy = time.Duration(s.FinishBy) * time.Minute
		}
	}
}

// WithMidnight sets when the present day began in UTC, as a time since the
// start of the process, which may be negative.
func (s State) WithMidnight(midnight time.Duration) State {
	s.c.midnight = midnight

	return s
}

// WithBacklog sets how many bytes of a service are known to be left, besides
// those that wait.
func (s State) WithBacklog(name string, bytes int64) State {
	s.c.service(name).backlog = bytes

	return s
}

func (sv *service) countSent(n int64, now time.Duration) {
	sv.decay(now)
	sv.bytes += float64(n)
}

// decay lowers the measured bytes by the part of rateWindow that has passed since the
// last call.
func (sv *service) decay(now time.Duration) {
	sv.bytes *= max(0, 1-float64(now-sv.decayedAt)/float64(rateWindow))
	sv.decayedAt = now
}

// raiseLateBulk moves bulk work that would not finish in time at its present rate to
// the short queue. It stays raised until nothing of it waits and no backlog is known.
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

// tooSlow reports whether the service would not have sent these bytes finishMargin
// before its next finishing time. When that is half a day or more ahead, it is not
// too slow yet.
func (c *core) tooSlow(sv *service, bytes int64) bool {
	remaining := ((sv.finishBy-(c.now-c.midnight))%day+day)%day - finishMargin
	if remaining <= 0 {
		return true
	}
	sv.decay(c.now)

	return sv.bytes/rateWindow.Seconds()*remaining.Seconds() < float64(bytes) && remaining < day/2
}

// moveRaised moves the bulk streams of raised services behind the short ones.
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
	intervals [10]int64 // ring of the newest intervals
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
