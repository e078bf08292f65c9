package direct

import (
	"math"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/ewma"
)

const (
	// demandAlpha is the weight of one tick in the mean demand. The mean covers about the last
	// two seconds.
	demandAlpha = 0.06
	// objectInterval is the assumed time between two requests for one object.
	objectInterval = 20 * time.Second
)

// demand is the number of slots of one service that the requests of this entry VM's
// callers need, whether or not they are served.
type demand struct {
	// requests counts the requests since the last tick. requestedSlotTime is the total time in
	// slots that they are expected to take, requestedLearningTime the total time that it would
	// take longer at servers that do not know their objects.
	requests                                 int
	requestedSlotTime, requestedLearningTime time.Duration
	// slots is the mean number of slots needed.
	slots ewma.Mean
	// requestTime and learningTime are the means of both times for one request, in nanoseconds.
	requestTime, learningTime ewma.Mean
	// peakRate is the number of requests of the region's callers a second at the last peak.
	peakRate float64
	// sticky is true when requests prefer the servers that know their objects.
	sticky bool
}

// count counts a request that is expected to take slotTime in a slot, and learningTime longer
// at a server that does not know its object.
func (d *demand) count(slotTime, learningTime time.Duration, sticky bool) {
	d.requests++
	d.requestedSlotTime += slotTime
	d.requestedLearningTime += learningTime
	d.sticky = d.sticky || sticky
}

// tick updates the means after a time.
func (d *demand) tick(elapsed time.Duration) {
	if d.slots.Count() > 0 || d.requestedSlotTime > 0 {
		d.slots = d.slots.With(float64(d.requestedSlotTime)/float64(elapsed), demandAlpha)
	}
	if d.requestedSlotTime > 0 {
		d.requestTime = d.requestTime.With(float64(d.requestedSlotTime)/float64(d.requests), demandAlpha)
		d.learningTime = d.learningTime.With(float64(d.requestedLearningTime)/float64(d.requests), demandAlpha)
	}
	d.requests, d.requestedSlotTime, d.requestedLearningTime = 0, 0, 0
}

// holdPeak returns the slots that the requests of the own region's callers need: slots, or
// what they would need at the last peak of their number if that is more. What has room at home
// now and will have none at the next peak should not move twice. The peak is held the longer,
// the more times the network time would have to be saved to make up for the learning. The time
// in a slot is that of now, because it falls for good while the servers learn the objects.
func (d *demand) holdPeak(slots float64, elapsed, networkTime time.Duration) float64 {
	requestTime := d.requestTime.Value() / float64(time.Second)
	if requestTime == 0 || networkTime <= 0 || !d.sticky {
		return slots
	}
	learnings := d.learningTime.Value() / float64(networkTime)
	held := math.Exp(-elapsed.Seconds() / max(learnings*objectInterval.Seconds(), elapsed.Seconds()))
	d.peakRate = max(slots/requestTime, d.peakRate*held)

	return d.peakRate * requestTime
}
