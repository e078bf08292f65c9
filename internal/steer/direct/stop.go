package direct

import (
	"math"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/value/option"
)

// This file handles the planned end of the entry VM. Callers whose requests have not
// started are served sooner by another entry VM than by one that may break them off.

// stopRequested refuses the queued requests that could be broken off.
func (s *state) stopRequested(e StopRequested) {
	s.answerBy = option.Some(e.AnswerBy)
	for _, service := range sortedKeys(s.queues) {
		for _, r := range slices.Clone(s.queues[service].waiting) {
			if !s.mayStart(r) {
				s.giveUp(r, ReasonStopping)
			}
		}
	}
}

// mayStart reports whether a new attempt surely ends before the entry VM does.
func (s *state) mayStart(r *request) bool {
	return r.deadline <= s.answerBy.Or(time.Duration(math.MaxInt64))
}
