package caller

const (
	// budgetRatio is the number of hedges and retries allowed for each first
	// attempt of a service.
	budgetRatio = 0.05
	// budgetBurst is the highest number of hedges and retries that may be saved up,
	// so that a few are allowed after a time with few requests. It is small
	// compared with the number of first attempts in a second.
	budgetBurst = 10
	// maxExtraAttempts bounds the hedges and retries of one request.
	maxExtraAttempts = 2
)

// budget is the token bucket of the hedges and retries of one service.
type budget struct {
	// tokens is the number of hedges and retries allowed now.
	tokens float64
	// firstAttempts and extraAttempts count since the start of the process, so
	// that exceeded can check the bucket.
	firstAttempts, extraAttempts int64
}

func (t *requestTable) budget(service string) *budget {
	b, ok := t.budgets[service]
	if !ok {
		b = &budget{tokens: budgetBurst}
		t.budgets[service] = b
	}

	return b
}

// addFirst counts a first attempt, which adds budgetRatio to the hedges and retries
// allowed.
func (b *budget) addFirst() {
	b.firstAttempts++
	b.tokens = min(budgetBurst, b.tokens+budgetRatio)
}

// available reports whether one more hedge or retry is allowed.
func (b *budget) available() bool {
	return b.tokens >= 1
}

// spend counts a hedge or retry.
func (b *budget) spend() {
	b.tokens--
	b.extraAttempts++
}

// exceeded reports whether there were more hedges and retries than the first
// attempts allow. The term 1e-6 allows for rounding errors.
func (b *budget) exceeded() bool {
	return float64(b.extraAttempts) > budgetBurst+budgetRatio*float64(b.firstAttempts)+1e-6
}
