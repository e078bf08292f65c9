package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// The demand of a customer is averaged over the time in which demandSample requests come,
	// within minDemandTime and maxDemandTime.
	demandSample  = 4 * One
	minDemandTime = time.Second
	maxDemandTime = 5 * time.Second
	// demandInterval is the interval at which the average is taken.
	demandInterval = 250 * time.Millisecond
	// minDemand is the demand below which a customer counts as gone.
	minDemand = One / 50
	// statementInterval is how long a demand that the holder was told may be old. A demand
	// that changes by restatePart and by restateDemand is stated earlier.
	statementInterval = 1500 * time.Millisecond
	restatePart       = 0.3
	restateDemand     = One / 2
	// askInterval is the shortest time between two requests for tokens.
	askInterval = 25 * time.Millisecond
	// askTimeout is the time after which a token that was asked for is asked for again.
	askTimeout = 200 * time.Millisecond
	// shortageTTL is how long a shortage that the holder has stated counts.
	shortageTTL = time.Second
	// holderTTL is how long a holder counts as known without a sign of it.
	holderTTL = 2 * time.Second
	// maxAsks bounds the customers in one request, so that it fits into a datagram.
	maxAsks = 1000
	// noHolderPause is the pause that a refused caller is told when there is no holder.
	// minPause and maxPause bound the pause that follows from the rate of the customer.
	noHolderPause = time.Second
	minPause      = 250 * time.Millisecond
	maxPause      = 10 * time.Second
)

// RequestID identifies a waiting request within one process.
type RequestID uint64

// waiter is a request that waits for a token.
type waiter struct {
	id RequestID
	// until is when the request is refused. askedAt is when a token was asked for it, or 0.
	until   time.Duration
	askedAt time.Duration
}

// share is what the entry VM may use by itself.
type share struct {
	Limit

	era    uint64
	serial uint32
	end    time.Duration
}

// usage is the state of one customer at an entry VM.
type usage struct {
	limit Limit
	share share
	// level is the number of tokens in the share's bucket, in thousandths.
	level    float64
	filledAt time.Duration
	// returned counts the tokens in the bucket that were taken and returned before.
	returned int
	waiting  []waiter
	// arrived counts the requests since the average demand was taken.
	arrived int
	demand  float64
	// stated is the demand that the holder was told last, at statedAt.
	stated   Amount
	statedAt time.Duration
	// confirmDue is true when the holder should learn that the share has changed.
	confirmDue bool
	// refillAt is when a refill of the bucket was last asked for.
	refillAt time.Duration
	// shortage is what the holder said last, at shortageAt.
	shortage   Shortage
	shortageAt time.Duration
}

// Shares is the reducer of an entry VM that uses shares.
type Shares struct {
	name        string
	incarnation uint64
	tolerance   Tolerance
	// holder is the entry VM to ask, in the era, last heard of at heardAt.
	holder  string
	era     uint64
	heardAt time.Duration
	// answered is true once the holder has answered a request in this era.
	answered bool
	// sequence is that of the last request. sentAt holds the times of the requests since the
	// last one that has an answer.
	sequence  uint64
	sentAt    map[uint64]time.Duration
	lastAskAt time.Duration
	demandAt  time.Duration
	limits    map[Key]Limit
	// customers holds those whose requests came recently.
	customers map[Key]*usage
}

// NewShares returns the state of an entry VM without shares.
func NewShares(name string, incarnation uint64, t Tolerance) *Shares {
	return &Shares{name: name, incarnation: incarnation, tolerance: t, sentAt: map[uint64]time.Duration{}, customers: map[Key]*usage{}}
}

// Events of Shares. LimitsChanged and Tick are common to both reducers.
type (
	// Arrived is a request that needs a token, and waits for it until a time.
	Arrived struct {
		At

		ID    RequestID
		Key   Key
		Until time.Duration
	}
	// Left says that the caller of a waiting request has left.
	Left struct {
		At

		ID  RequestID
		Key Key
	}
	// Returned gives back the token with which a request was admitted, because the request
	// has not run.
	Returned struct {
		At

		Key      Key
		Admitted Admit
	}
	// HolderHeard is a sign of a holder.
	HolderHeard struct {
		At

		Holder string
		Era    uint64
	}
	// Granted is a grant of a holder.
	Granted struct {
		At

		Grant Grant
	}
)

// Effects of Shares.
type (
	// Admit lets a request pass.
	Admit struct {
		ID RequestID
		At time.Duration
		// Final is true if the token must not be returned.
		Final bool
	}
	// Refuse refuses a request.
	Refuse struct {
		ID RequestID
		// OverLimit is true when the holder said that there is no token, false when it did not
		// answer.
		OverLimit  bool
		RetryAfter time.Duration
	}
	// Send sends a request to the holder.
	Send struct {
		To      string
		Request Request
	}
)

func (Admit) effect()  {}
func (Refuse) effect() {}
func (Send) effect()   {}

// Holder returns the entry VM that is known to be the holder, and when it was last heard of.
func (s *Shares) Holder() (name string, heardAt time.Duration) {
	return s.holder, s.heardAt
}

// Reduce applies an event and returns the effects.
func (s *Shares) Reduce(ev Event) []Effect {
	now := ev.when()
	switch e := ev.(type) {
	case LimitsChanged:
		s.setLimits(now, e.Limits)
	case Arrived:
		return s.arrived(now, e)
	case Left:
		if u, ok := s.customers[e.Key]; ok {
			u.waiting = slices.DeleteFunc(u.waiting, func(w waiter) bool { return w.id == e.ID })
		}
	case Returned:
		return s.returned(now, e)
	case HolderHeard:
		return s.heard(now, e.Holder, e.Era)
	case Granted:
		return s.granted(now, e.Grant)
	case Tick:
		return s.tick(now)
	}

	return nil
}

// setLimits applies the effective limits of the configuration.
func (s *Shares) setLimits(now time.Duration, limits map[Key]Limit) {
	s.limits = limits
	for key, u := range s.customers {
		u.fill(now)
		u.limit = limits[key]
	}
}

func (s *Shares) usage(now time.Duration, key Key) *usage {
	u, ok := s.customers[key]
	if !ok {
		u = &usage{limit: s.limits[key], filledAt: now}
		s.customers[key] = u
	}

	return u
}

// usable returns the part of the share that the own configuration allows.
func (u *usage) usable() Limit {
	return Limit{Rate: min(u.share.Rate, u.limit.Rate), Depth: min(u.share.Depth, u.limit.Depth)}
}

// fill adds what has come into the bucket, and empties it when the share has ended.
func (u *usage) fill(now time.Duration) {
	if now >= u.share.end {
		u.share, u.level, u.returned = share{}, 0, 0
	}
	usable := u.usable()
	u.level = min(u.level+usable.Rate.inSeconds(now-u.filledAt), float64(usable.Depth))
	u.filledAt = max(now, u.filledAt)
}

// admit admits a request with a token that was taken. A token is returned once only: while
// it is away the bucket fills, so that one that goes to and fro would be made each time.
func (u *usage) admit(id RequestID, now time.Duration) Admit {
	if u.returned > 0 {
		u.returned--

		return Admit{ID: id, At: now, Final: true}
	}

	return Admit{ID: id, At: now}
}

// take takes a token from the bucket.
func (u *usage) take() bool {
	if u.level < float64(One) {
		return false
	}
	u.level -= float64(One)

	return true
}

// arrived admits a request, refuses it or lets it wait.
func (s *Shares) arrived(now time.Duration, e Arrived) []Effect {
	u := s.usage(now, e.Key)
	u.arrived++
	u.fill(now)
	if len(u.waiting) == 0 && u.take() {
		admit := []Effect{u.admit(e.ID, now)}
		if u.needsRefill(now) {
			return append(admit, s.ask(now, false)...)
		}

		return admit
	}
	if u.shortage == OverLimit && now-u.shortageAt < shortageTTL {
		return []Effect{u.refusal(e.ID, true)}
	}
	u.waiting = append(u.waiting, waiter{id: e.ID, until: e.Until})

	return s.ask(now, false)
}

// refusal refuses a request. Callers that are over the limit are told when the customer's
// next tokens come.
func (u *usage) refusal(id RequestID, over bool) Refuse {
	if !over {
		return Refuse{ID: id, RetryAfter: noHolderPause}
	}
	pause := maxPause
	if rate := u.usable().Rate; rate > 0 {
		missing := float64(len(u.waiting)+1)*float64(One) - u.level
		pause = time.Duration(missing / float64(rate) * float64(time.Second))
	} else if u.limit.Rate > 0 {
		pause = time.Duration(float64(One) / float64(u.limit.Rate) * float64(time.Second))
	}

	return Refuse{ID: id, OverLimit: true, RetryAfter: min(max(pause, minPause), maxPause)}
}

// returned puts a token back into the bucket. A token that was taken too long ago is lost:
// the bucket has filled since then.
func (s *Shares) returned(now time.Duration, e Returned) []Effect {
	u, ok := s.customers[e.Key]
	if !ok || e.Admitted.Final || now-e.Admitted.At > s.tolerance.returnTime() {
		return nil
	}
	u.fill(now)
	// There is room for the whole token, or it is lost.
	if u.level+float64(One) > float64(u.usable().Depth) {
		return nil
	}
	u.level += float64(One)
	u.returned++

	return u.serve(now)
}

// serve admits waiting requests in their order while there are tokens.
func (u *usage) serve(now time.Duration) []Effect {
	var effects []Effect
	for len(u.waiting) > 0 && u.take() {
		effects = append(effects, u.admit(u.waiting[0].id, now))
		u.waiting = u.waiting[1:]
	}

	return effects
}

// heard takes note of a holder. A holder of an older era counts again only when the newer
// one has been silent for as long as its shares hold.
func (s *Shares) heard(now time.Duration, holder string, era uint64) []Effect {
	switch {
	case era == s.era:
		s.heardAt = now

		return nil
	case era < s.era && now-s.heardAt < ShareTTL:
		return nil
	}
	s.holder, s.era, s.heardAt, s.answered = holder, era, now, false
	clear(s.sentAt)
	for _, u := range s.customers {
		u.shortage, u.statedAt = NoShortage, 0
		for i := range u.waiting {
			u.waiting[i].askedAt = 0
		}
	}

	return s.ask(now, true)
}

// granted applies a grant. Only the answers of the holder's era count, and of these only one
// that is newer than the last, so that each token is used once.
func (s *Shares) granted(now time.Duration, g Grant) []Effect {
	effects := s.heard(now, g.Holder, g.Era)
	sentAt, ok := s.sentAt[g.Sequence]
	if g.Era != s.era || g.Incarnation != s.incarnation || !ok {
		return effects
	}
	s.answered = true
	for sequence := range s.sentAt {
		if sequence <= g.Sequence {
			delete(s.sentAt, sequence)
		}
	}
	inTime := now-sentAt <= s.tolerance.tokenLife()
	for _, give := range g.Gives {
		effects = append(effects, s.take(now, sentAt, inTime, give)...)
	}

	return append(effects, s.ask(now, false)...)
}

// take applies the part of a grant for one customer.
func (s *Shares) take(now, sentAt time.Duration, inTime bool, g Give) []Effect {
	u := s.usage(now, g.Key)
	u.fill(now)
	end := sentAt + ShareTTL
	if u.share.era == s.era {
		end = max(end, u.share.end)
	}
	u.confirmDue = u.share.era != s.era || u.share.serial != g.Serial
	u.share = share{Limit: Limit{Rate: g.Rate, Depth: g.Depth}, era: s.era, serial: g.Serial, end: end}
	u.shortage, u.shortageAt = g.Shortage, now
	tokens := 0
	if inTime {
		u.level += float64(g.Fill)
		tokens = int(g.Tokens)
	}
	u.fill(now)
	var effects []Effect
	// Tokens that no request waits for any more are lost: they are not part of the share.
	for ; tokens > 0 && len(u.waiting) > 0; tokens-- {
		effects = append(effects, Admit{ID: u.waiting[0].id, At: now})
		u.waiting = u.waiting[1:]
	}
	effects = append(effects, u.serve(now)...)
	if g.Shortage == OverLimit {
		for _, w := range u.waiting {
			effects = append(effects, u.refusal(w.id, true))
		}
		u.waiting = nil
	}
	for i := range u.waiting {
		if u.waiting[i].askedAt <= sentAt {
			u.waiting[i].askedAt = 0
		}
	}

	return effects
}

// tick measures the demand, ends waits and sends what is due.
func (s *Shares) tick(now time.Duration) []Effect {
	var effects []Effect
	elapsed := now - s.demandAt
	measure := elapsed >= demandInterval
	if measure {
		s.demandAt = now
	}
	var waiting []Key
	for key, u := range s.customers {
		if measure {
			u.measureDemand(elapsed)
		}
		if len(u.waiting) > 0 {
			waiting = append(waiting, key)
		}
		if u.arrived == 0 && Amount(u.demand) < minDemand && len(u.waiting) == 0 && now >= u.share.end {
			delete(s.customers, key)
		}
	}
	// Effects must follow from the events alone.
	slices.Sort(waiting)
	for _, key := range waiting {
		u := s.customers[key]
		u.fill(now)
		effects = append(effects, u.serve(now)...)
		effects = append(effects, u.expire(now)...)
	}
	for sequence, at := range s.sentAt {
		if now-at >= ShareTTL {
			delete(s.sentAt, sequence)
		}
	}

	return append(effects, s.ask(now, measure)...)
}

// measureDemand updates the average demand.
func (u *usage) measureDemand(elapsed time.Duration) {
	average := max(float64(demandSample)/max(u.demand, 1), minDemandTime.Seconds())
	weight := 1 - math.Exp(-elapsed.Seconds()/min(average, maxDemandTime.Seconds()))
	u.demand += weight * (float64(u.arrived)*float64(One)/elapsed.Seconds() - u.demand)
	u.arrived = 0
}

// expire refuses the requests that have waited for too long.
func (u *usage) expire(now time.Duration) []Effect {
	var effects []Effect
	u.waiting = slices.DeleteFunc(u.waiting, func(w waiter) bool {
		if now < w.until {
			return false
		}
		over := u.shortage != NoShortage && now-u.shortageAt < shortageTTL
		effects = append(effects, u.refusal(w.id, over))

		return true
	})

	return effects
}

// ask sends the holder what it should know: at once for waiting requests, and with due also
// the demands that have changed and the shares that need an extension. It sends nothing if
// there is nothing to say.
func (s *Shares) ask(now time.Duration, due bool) []Effect {
	if s.era == 0 || now-s.heardAt >= holderTTL || now-s.lastAskAt < askInterval && s.lastAskAt > 0 && !due {
		return nil
	}
	full := !s.answered
	asks := make([]Ask, 0, len(s.customers))
	for key, u := range s.customers {
		if len(asks) == maxAsks {
			if full {
				// The holder will not know of this share.
				u.share, u.level = share{}, 0
			}

			continue
		}
		if ask, ok := s.askFor(now, key, u, due, full); ok {
			asks = append(asks, ask)
		}
	}
	if len(asks) == 0 && (!full || !due) {
		return nil
	}
	slices.SortFunc(asks, func(a, b Ask) int { return cmp.Compare(a.Key, b.Key) })
	s.lastAskAt = now
	s.sequence++
	s.sentAt[s.sequence] = now

	return []Effect{Send{To: s.holder, Request: Request{
		Name: s.name, Incarnation: s.incarnation, Era: s.era, Sequence: s.sequence, Full: full, Asks: asks,
	}}}
}

// askFor returns what the holder should know about a customer, and false if there is
// nothing new.
func (s *Shares) askFor(now time.Duration, key Key, u *usage, due, full bool) (Ask, bool) {
	u.fill(now)
	ask := Ask{Key: key, Demand: Amount(u.demand)}
	for _, w := range u.waiting {
		if w.askedAt == 0 || now-w.askedAt >= askTimeout {
			ask.Waiting++
		}
	}
	held := u.share.end > now
	if held && u.share.era == s.era {
		ask.Serial = u.share.serial
		ask.Missing = Amount(max(float64(u.usable().Depth)-u.level, 0))
	} else if held {
		ask.Rate, ask.Depth = u.share.Rate, u.share.Depth
	}
	if ask.Demand < minDemand && ask.Waiting == 0 && !held {
		return Ask{}, false
	}
	refill := u.needsRefill(now) && (u.shortage == NoShortage || due)
	if !full && ask.Waiting == 0 && !refill && (!due || !u.isStatementDue(now, ask.Demand)) {
		return Ask{}, false
	}
	for i := range u.waiting {
		if u.waiting[i].askedAt == 0 || now-u.waiting[i].askedAt >= askTimeout {
			u.waiting[i].askedAt = now
		}
	}
	u.stated, u.statedAt, u.confirmDue = ask.Demand, now, false
	if refill {
		u.refillAt = now
	}

	return ask, true
}

// needsRefill reports whether the next request would wait although the share could hold a
// token, and its rate does not bring one soon.
func (u *usage) needsRefill(now time.Duration) bool {
	usable := u.usable()

	return usable.Depth >= One && u.level < float64(One) && now-u.refillAt >= askTimeout &&
		u.level+usable.Rate.inSeconds(askTimeout) < float64(One)
}

// isStatementDue reports whether the holder's knowledge of the demand is too old.
func (u *usage) isStatementDue(now time.Duration, demand Amount) bool {
	age := now - u.statedAt
	change := max(demand, u.stated) - min(demand, u.stated)
	changed := change > restateDemand && float64(change) > restatePart*float64(u.stated)

	return u.statedAt == 0 || age >= statementInterval || (changed || u.confirmDue) && age >= demandInterval
}
