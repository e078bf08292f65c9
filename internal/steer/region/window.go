package region

// sequenceWindow records which of the last 64 sequence numbers of a sender were
// seen, so that duplicate transfers are dropped.
type sequenceWindow struct {
	highest uint64
	// seenBits has bit n set when the number highest-n was seen.
	seenBits uint64
	// cut is the cut number of the newest transfer accepted.
	cut uint64
}

// markSeen records a sequence number and reports whether it is new, or too old to
// tell. A number that is too old counts as seen: the tokens of its transfer may be
// lost until a recount.
func (w *sequenceWindow) markSeen(sequence uint64) (isNew, tooOld bool) {
	if sequence > w.highest {
		w.seenBits = w.seenBits<<min(sequence-w.highest, 64) | 1
		w.highest = sequence

		return true, false
	}
	age := w.highest - sequence
	if age >= 64 {
		return false, true
	}
	if w.seenBits&(1<<age) != 0 {
		return false, false
	}
	w.seenBits |= 1 << age

	return true, false
}
