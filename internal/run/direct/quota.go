package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
	"github.com/greengagetally/greengagetally/internal/steer/intent"
	"github.com/greengagetally/greengagetally/internal/steer/quota"
	"github.com/greengagetally/greengagetally/internal/wire/gossip"
	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

const (
	// quotaTickInterval is the interval at which the reducers of quotas get a tick.
	quotaTickInterval = 50 * time.Millisecond
	// A request waits for a token for at most a part of its caller's patience, so that most
	// of it is left for the work, but for minTokenWait if the patience is twice as long: an
	// answer of the holder may come from another region.
	tokenWaitDivisor = 8
	minTokenWait     = 150 * time.Millisecond
	// overLimitLogInterval is the shortest time between two log lines about one customer that
	// is over its limit.
	overLimitLogInterval = 5 * time.Second
)

// quotas connects the reducers that keep the customers' limits with the runtime. It is unused
// while no customer has a limit.
type quotas struct {
	self      EntryVM
	tolerance quota.Tolerance
	log       *zap.Logger

	// mu guards the fields below. It is never held during I/O.
	mu     sync.Mutex
	shares *quota.Shares
	ledger *quota.Ledger
	// names holds the customers with limits.
	names map[quota.Key]string
	// limited is true while the configuration has customers with limits.
	limited bool
	// outcomes deliver the effects to the requests that wait.
	outcomes map[quota.RequestID]chan quota.Effect
	lastID   quota.RequestID
	// holder is the holder that was logged last. overLoggedAt holds when it was last logged
	// that a customer is over its limit, by name.
	holder       string
	overLoggedAt map[string]time.Duration
	// gainedAt is when the own right was gained, listReadAt when the list of entry VMs was
	// last read for it.
	gainedAt, listReadAt time.Duration
	// listedEra is the era in which the ledger was told the entry VMs in listedNames.
	listedEra   uint64
	listedNames []string
	// openedEra is the last era in which new shares were given.
	openedEra uint64
	// claimed is true when another entry VM takes this one for the holder.
	claimed bool
}

// quotaMessage is a message to another entry VM.
type quotaMessage struct {
	to      string
	message gossip.Message
}

// newQuotas returns the state of an entry VM that knows no limits yet. startedAt is the
// wall-clock time of the start of the process.
func newQuotas(self EntryVM, t QuotaTolerance, startedAt time.Time, log *zap.Logger) *quotas {
	tolerance := quota.Tolerance(t)

	return &quotas{
		self: self, tolerance: tolerance, log: log,
		shares: quota.NewShares(self.Name, uint64(max(startedAt.UnixMilli(), 0)), tolerance), ledger: quota.NewLedger(self.Name),
		outcomes: map[quota.RequestID]chan quota.Effect{}, overLoggedAt: map[string]time.Duration{},
	}
}

// isLimited reports whether the requests of a customer need tokens.
func (q *quotas) isLimited(customer intent.Customer) bool {
	return q.tolerance.Window > 0 && customer.Limit.IsSet()
}

// takesPart reports whether there are limits to keep.
func (q *quotas) takesPart() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.limited
}

// setLimits applies the limits of a configuration.
func (q *quotas) setLimits(now time.Duration, current *intent.Intent) {
	limits, names := map[quota.Key]quota.Limit{}, map[quota.Key]string{}
	for name, customer := range current.Customers() {
		if q.isLimited(customer) {
			key := quota.KeyOf(name)
			limits[key], names[key] = quota.EffectiveLimit(customer.Limit, q.tolerance), name
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(limits) == 0 && !q.limited {
		return
	}
	q.limited, q.names = len(limits) > 0, names
	changed := quota.LimitsChanged{At: quota.At(now), Limits: limits}
	q.shares.Reduce(changed)
	q.ledger.Reduce(changed)
}

// logStatus logs the customers that are over their limits. Only the holder knows them.
func (q *quotas) logStatus() {
	q.mu.Lock()
	statuses, names := q.ledger.OverLimit(), q.names
	q.mu.Unlock()
	for _, s := range statuses {
		q.log.Info("quota status", zap.String("customer", names[s.Key]), zap.Float64("demand", s.Demand.Requests()), zap.Float64("limit", s.Limit.Rate.Requests()),
			zap.Float64("depth", s.Limit.Depth.Requests()), zap.Float64("shared", s.Shares.Rate.Requests()), zap.Int("entries", s.EntryVMs))
	}
}

// logOpened logs that this entry VM, as the holder, begins to give new shares.
func (q *quotas) logOpened(now time.Duration) {
	q.mu.Lock()
	era, held := q.ledger.Era(now)
	opened, reporters := q.ledger.Opened()
	isNew := held && opened && q.openedEra != era
	if isNew {
		q.openedEra = era
	}
	q.mu.Unlock()
	if isNew {
		q.log.Info("quotas are handed out", zap.Uint64("era", era), zap.Int("reported", reporters))
	}
}

// era returns the era of the own right as the holder, or 0 if there is none now.
func (q *quotas) era(now time.Duration) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	era, ok := q.ledger.Era(now)
	if !ok {
		return 0
	}

	return era
}

// useShares passes an event to the reducer of the own shares and returns the messages to send.
func (q *quotas) useShares(ev quota.Event) []quotaMessage {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.run(q.shares.Reduce(ev), ev)
}

// useLedger passes an event to the reducer of the holder and returns the messages to send.
func (q *quotas) useLedger(ev quota.Event) []quotaMessage {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.run(q.ledger.Reduce(ev), ev)
}

// run runs effects, and those of the messages that this entry VM sends to itself. Callers
// hold q.mu.
func (q *quotas) run(effects []quota.Effect, cause quota.Event) []quotaMessage {
	var out []quotaMessage
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case quota.Admit:
			q.deliver(e.ID, e)
		case quota.Refuse:
			q.deliver(e.ID, e)
		case quota.Send:
			if e.To == q.self.Name {
				effects = append(effects, q.ledger.Reduce(quota.Asked{At: quota.TimeOf(cause), Request: e.Request})...)
			} else {
				out = append(out, quotaMessage{to: e.To, message: gossip.Message{QuotaRequest: requestMessage(e.Request)}})
			}
		case quota.Answer:
			if e.To == q.self.Name {
				effects = append(effects, q.shares.Reduce(quota.Granted{At: quota.TimeOf(cause), Grant: e.Grant})...)
			} else {
				out = append(out, quotaMessage{to: e.To, message: gossip.Message{QuotaGrant: grantMessage(e.Grant)}})
			}
		}
	}
	if holder, _ := q.shares.Holder(); holder != q.holder {
		q.holder = holder
		q.log.Info("holder of the quotas changed", zap.String("entry", holder))
	}

	return out
}

// deliver passes the outcome to a waiting request. Callers hold q.mu.
func (q *quotas) deliver(id quota.RequestID, effect quota.Effect) {
	if ch, ok := q.outcomes[id]; ok {
		delete(q.outcomes, id)
		ch <- effect
	}
}

// arrive asks for a token. The outcome comes on the channel.
func (q *quotas) arrive(now, until time.Duration, key quota.Key) (quota.RequestID, <-chan quota.Effect, []quotaMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	ch := make(chan quota.Effect, 1)
	q.outcomes[q.lastID] = ch
	arrived := quota.Arrived{At: quota.At(now), ID: q.lastID, Key: key, Until: until}

	return q.lastID, ch, q.run(q.shares.Reduce(arrived), arrived)
}

// leave ends the wait of a request. If it was admitted meanwhile, its token goes back.
func (q *quotas) leave(now time.Duration, id quota.RequestID, key quota.Key, outcome <-chan quota.Effect) []quotaMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.outcomes, id)
	var ev quota.Event = quota.Left{At: quota.At(now), ID: id, Key: key}
	select {
	case effect := <-outcome:
		admitted, ok := effect.(quota.Admit)
		if !ok {
			return nil
		}
		ev = quota.Returned{At: quota.At(now), Key: key, Admitted: admitted}
	default:
	}

	return q.run(q.shares.Reduce(ev), ev)
}

// overLimit reports whether it should be logged now that a customer is over its limit.
func (q *quotas) overLimit(now time.Duration, customer string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	last, ok := q.overLoggedAt[customer]
	if ok && now-last < overLimitLogInterval {
		return false
	}
	q.overLoggedAt[customer] = now

	return true
}

// takeQuota takes one request from the quota of a customer, and waits for it for a part of
// the caller's patience. It returns a denial if there is none in time. giveBack returns the
// request to the quota; it is called when no backend server has run the request.
func (p *Process) takeQuota(exchange *http1.Exchange, customer intent.Customer, patience time.Duration) (giveBack func(), denied *denial) {
	if !p.quotas.isLimited(customer) {
		return func() {}, nil
	}
	key, arrivedAt := quota.KeyOf(customer.Name), p.clock.Now()
	wait := max(patience/tokenWaitDivisor, min(patience/2, minTokenWait))
	id, outcome, messages := p.quotas.arrive(arrivedAt, arrivedAt+wait, key)
	p.sendQuota(messages)
	var effect quota.Effect
	select {
	case effect = <-outcome:
	default:
		effect = p.awaitQuota(exchange, outcome, wait)
		p.metrics.QuotaWait(customer.Name, p.clock.Now()-arrivedAt)
	}
	switch e := effect.(type) {
	case quota.Admit:
		return func() {
			p.sendQuota(p.quotas.useShares(quota.Returned{At: quota.At(p.clock.Now()), Key: key, Admitted: e}))
		}, nil
	case quota.Refuse:
		return nil, p.quotaDenial(customer, e)
	}
	p.sendQuota(p.quotas.leave(p.clock.Now(), id, key, outcome))

	return nil, &denial{status: http.StatusServiceUnavailable, reason: steer.ReasonNoQuota, retryAfter: p.retryAfter()}
}

// awaitQuota waits for the outcome of a request for a token. It returns nil when the caller
// leaves, the process ends, or there is no outcome although the wait is long over.
func (p *Process) awaitQuota(exchange *http1.Exchange, outcome <-chan quota.Effect, wait time.Duration) quota.Effect {
	overdue := time.NewTimer(wait + time.Second)
	defer overdue.Stop()
	select {
	case effect := <-outcome:
		return effect
	case <-exchange.CallerLeft():
	case <-p.ctx.Done():
	case <-overdue.C:
	}

	return nil
}

// quotaDenial returns the denial of a request that gets no token. A random part of the pause
// spreads the callers.
func (p *Process) quotaDenial(customer intent.Customer, refused quota.Refuse) *denial {
	pause := refused.RetryAfter + time.Duration(rand.Float64()*float64(refused.RetryAfter)/2) //nolint:gosec // Spreads callers.
	if !refused.OverLimit {
		return &denial{status: http.StatusServiceUnavailable, reason: steer.ReasonNoQuota, retryAfter: pause}
	}
	if p.quotas.overLimit(p.clock.Now(), customer.Name) {
		p.log.Info("customer is over its limit", zap.String("customer", customer.Name),
			zap.Float64("per-second", customer.Limit.PerSecond), zap.Float64("burst", customer.Limit.Burst))
	}

	return &denial{status: http.StatusTooManyRequests, reason: steer.ReasonOverQuota, retryAfter: pause}
}

// sendQuota sends messages to other entry VMs.
func (p *Process) sendQuota(messages []quotaMessage) {
	for _, m := range messages {
		p.peers.mu.Lock()
		address, ok := p.peers.reportAddress(m.to)
		p.peers.mu.Unlock()
		if ok {
			p.send(m.message, []netip.AddrPort{address})
		}
	}
}

// tickQuotas passes ticks to the reducers until ctx ends.
func (p *Process) tickQuotas(ctx context.Context) {
	for now := range p.clock.Subscribe(ctx, quotaTickInterval) {
		if !p.quotas.takesPart() {
			continue
		}
		tick := quota.Tick{At: quota.At(now)}
		if era := p.quotas.era(now); era > 0 {
			p.sendQuota(p.quotas.useShares(quota.HolderHeard{At: tick.At, Holder: p.self.Name, Era: era}))
			p.listQuotaUsers(ctx, now, era)
		}
		p.sendQuota(p.quotas.useLedger(tick))
		p.quotas.logOpened(now)
		p.sendQuota(p.quotas.useShares(tick))
	}
}

// heardQuotaHolder applies what a report or digest says about the holder.
func (p *Process) heardQuotaHolder(now time.Duration, name string, era uint64) {
	if era > 0 && name != p.self.Name && p.quotas.takesPart() {
		p.sendQuota(p.quotas.useShares(quota.HolderHeard{At: quota.At(now), Holder: name, Era: era}))
		if own := p.quotas.era(now); own > 0 && own < era {
			// The key was lost although its lease lives.
			p.log.Warn("another entry VM holds the quotas", zap.String("holder", name), zap.Uint64("era", era), zap.Uint64("own-era", own))
			p.sendQuota(p.quotas.useLedger(quota.RightLost{At: quota.At(now)}))
		}
	}
}

// receivedQuotaRequest handles a request to the holder. An entry VM that is not the holder
// learns that the others take it for the holder, as after its restart.
func (p *Process) receivedQuotaRequest(now time.Duration, m gossip.QuotaRequest, from netip.AddrPort) {
	if !p.quotas.takesPart() || !p.isFrom(m.Name, from) {
		return
	}
	if p.quotas.era(now) == 0 {
		p.quotas.mu.Lock()
		p.quotas.claimed = true
		p.quotas.mu.Unlock()

		return
	}
	p.sendQuota(p.quotas.useLedger(quota.Asked{At: quota.At(now), Request: requestOf(m)}))
}

// receivedQuotaGrant handles a grant of the holder.
func (p *Process) receivedQuotaGrant(now time.Duration, m gossip.QuotaGrant, from netip.AddrPort) {
	if p.quotas.takesPart() && p.isFrom(m.Holder, from) {
		p.sendQuota(p.quotas.useShares(quota.Granted{At: quota.At(now), Grant: grantOf(m)}))
	}
}

// isFrom reports whether an address is that of the entry VM with a name.
func (p *Process) isFrom(name string, from netip.AddrPort) bool {
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	address, ok := p.peers.reportAddress(name)

	return ok && address.Addr() == from.Addr().Unmap()
}

// requestMessage returns a request in the form that is sent.
func requestMessage(r quota.Request) *gossip.QuotaRequest {
	m := &gossip.QuotaRequest{Name: r.Name, Incarnation: r.Incarnation, Era: r.Era, Sequence: r.Sequence, Full: r.Full}
	for _, a := range r.Asks {
		m.Asks = append(m.Asks, gossip.QuotaAsk{
			Key: uint64(a.Key), Demand: uint64(a.Demand), Waiting: a.Waiting, Serial: a.Serial, Rate: uint64(a.Rate), Depth: uint64(a.Depth), Missing: uint64(a.Missing),
		})
	}

	return m
}

// requestOf is the inverse of requestMessage.
func requestOf(m gossip.QuotaRequest) quota.Request {
	r := quota.Request{Name: m.Name, Incarnation: m.Incarnation, Era: m.Era, Sequence: m.Sequence, Full: m.Full}
	for _, a := range m.Asks {
		r.Asks = append(r.Asks, quota.Ask{
			Key: quota.Key(a.Key), Demand: quota.Clamp(a.Demand), Waiting: a.Waiting, Serial: a.Serial, Rate: quota.Clamp(a.Rate), Depth: quota.Clamp(a.Depth), Missing: quota.Clamp(a.Missing),
		})
	}

	return r
}

// grantMessage returns a grant in the form that is sent.
func grantMessage(g quota.Grant) *gossip.QuotaGrant {
	m := &gossip.QuotaGrant{Holder: g.Holder, Era: g.Era, Incarnation: g.Incarnation, Sequence: g.Sequence}
	for _, v := range g.Gives {
		m.Gives = append(m.Gives, gossip.QuotaGive{
			Key: uint64(v.Key), Serial: v.Serial, Rate: uint64(v.Rate), Depth: uint64(v.Depth),
			Tokens: v.Tokens, Fill: uint64(v.Fill), Shortage: uint8(v.Shortage),
		})
	}

	return m
}

// grantOf is the inverse of grantMessage.
func grantOf(m gossip.QuotaGrant) quota.Grant {
	g := quota.Grant{Holder: m.Holder, Era: m.Era, Incarnation: m.Incarnation, Sequence: m.Sequence}
	for _, v := range m.Gives {
		g.Gives = append(g.Gives, quota.Give{
			Key: quota.Key(v.Key), Serial: v.Serial, Rate: quota.Clamp(v.Rate), Depth: quota.Clamp(v.Depth),
			Tokens: v.Tokens, Fill: quota.Clamp(v.Fill), Shortage: quota.Shortage(v.Shortage),
		})
	}

	return g
}
