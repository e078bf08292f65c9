package quota

import (
	"time"
)

const (
	// demandTTL is how long a demand that an entry VM has stated counts.
	demandTTL = 5 * time.Second
	// announceInterval is the interval at which a new holder announces itself to the entry
	// VMs that have not told it yet what they hold.
	announceInterval = 250 * time.Millisecond
)

// grantedShare is a share in the holder's books.
type grantedShare struct {
	// confirmed is the share that the entry VM is known to use, offered the newest one that
	// was sent to it. Until the entry VM confirms it, it may use either.
	confirmed, offered Limit
	// serial is that of the offered share.
	serial uint32
	// end is when the entry VM stops to use the share unless it is extended.
	end time.Duration
}

// committed returns the most that the entry VM may use.
func (s grantedShare) committed() Limit {
	return Limit{Rate: max(s.confirmed.Rate, s.offered.Rate), Depth: max(s.confirmed.Depth, s.offered.Depth)}
}

// statedDemand is the demand that an entry VM has stated at a time.
type statedDemand struct {
	rate Amount
	at   time.Duration
}

// account is the holder's book of one customer. The maps are keyed by entry VM.
type account struct {
	limit  Limit
	shares map[string]grantedShare
	demand map[string]statedDemand
	// load is the average of the sum of the demands, as of loadAt.
	load   float64
	loadAt time.Duration
	// level is the number of tokens in the centre, in thousandths.
	level    float64
	filledAt time.Duration
}

// reporter is an entry VM that has told the holder what it holds.
type reporter struct {
	incarnation, sequence uint64
	at                    time.Duration
}

// isOld reports whether a request of an entry VM comes from an earlier incarnation or was
// handled already. When an entry VM has been silent until its shares have ended, any other
// incarnation counts as later, because the clock of a VM may be set back.
func (r reporter) isOld(now time.Duration, q Request) bool {
	if q.Incarnation == r.incarnation {
		return q.Sequence <= r.sequence
	}

	return q.Incarnation < r.incarnation && now-r.at < ShareTTL
}

// Ledger is the reducer of the holder. It is also kept, without a right, by entry VMs that
// are not the holder.
type Ledger struct {
	name string
	// era is that of the own right, which ends at rightEnd unless it is renewed.
	era      uint64
	rightEnd time.Duration
	// opensAt is when the shares of earlier holders have ended. Before that only what entry
	// VMs report is known.
	opensAt time.Duration
	// opened is true once all entry VMs have reported or the shares of earlier holders have
	// ended.
	opened      bool
	listed      []string
	reporters   map[string]reporter
	accounts    map[Key]*account
	serial      uint32
	announcedAt time.Duration
}

// NewLedger returns the ledger of the entry VM with a name, without a right.
func NewLedger(name string) *Ledger {
	return &Ledger{name: name, reporters: map[string]reporter{}, accounts: map[Key]*account{}}
}

// Event is an input of a reducer. All times are counted from the start of the process.
type Event interface {
	when() time.Duration
}

// At is the time of an event. Every event embeds it.
type At time.Duration

func (a At) when() time.Duration { return time.Duration(a) }

// TimeOf returns the time of an event.
func TimeOf(ev Event) At {
	return At(ev.when())
}

// Events of a Ledger.
type (
	// RightGained says that this entry VM is the holder until End.
	RightGained struct {
		At

		Era uint64
		End time.Duration
		// OpensAt is when the shares of all earlier holders have ended.
		OpensAt time.Duration
	}
	// RightRenewed moves the end of the right.
	RightRenewed struct {
		At

		Era uint64
		End time.Duration
	}
	// RightLost ends the right.
	RightLost struct{ At }
	// LimitsChanged replaces the effective limits of all customers that have one.
	LimitsChanged struct {
		At

		Limits map[Key]Limit
	}
	// EntryVMsChanged replaces the names of the entry VMs that may hold shares, including
	// this one. It must come after each RightGained, with a list that was read since.
	EntryVMsChanged struct {
		At

		Names []string
	}
	// Asked is a request of an entry VM.
	Asked struct {
		At

		Request Request
	}
	// Tick arrives at regular intervals.
	Tick struct{ At }
)

// Effect is an output of a reducer that the runtime carries out.
type Effect interface {
	effect()
}

// Effects of a Ledger.
type (
	// Answer sends a grant to an entry VM.
	Answer struct {
		To    string
		Grant Grant
	}
)

func (Answer) effect() {}

// Era returns the era of the right that this entry VM has at a time, and false if it has none.
func (l *Ledger) Era(now time.Duration) (uint64, bool) {
	return l.era, l.era > 0 && now < l.rightEnd
}

// Opened reports whether the shares of all earlier holders are known or have ended, so that
// new ones can be given, and how many entry VMs have reported theirs.
func (l *Ledger) Opened() (opened bool, reporters int) {
	return l.opened, len(l.reporters)
}

// Reduce applies an event and returns the effects.
func (l *Ledger) Reduce(ev Event) []Effect {
	now := ev.when()
	if _, ok := l.Era(now); !ok && l.era > 0 {
		l.end()
	}
	switch e := ev.(type) {
	case RightGained:
		l.end()
		l.era, l.rightEnd, l.opensAt = e.Era, e.End, e.OpensAt
	case RightRenewed:
		if e.Era == l.era {
			l.rightEnd = max(l.rightEnd, e.End)
		}
	case RightLost:
		l.end()
	case LimitsChanged:
		l.setLimits(now, e.Limits)
	case EntryVMsChanged:
		l.listed = e.Names
		l.tryOpen(now)

		return l.announce(now)
	case Asked:
		return l.answer(now, e.Request)
	case Tick:
		return l.tick(now)
	}

	return nil
}

// end forgets the right. What entry VMs hold must be learned again with the next one, and its
// centre starts without tokens, because earlier holders may have handed them out.
func (l *Ledger) end() {
	l.era, l.rightEnd, l.opened, l.announcedAt = 0, 0, false, 0
	l.listed, l.reporters = nil, map[string]reporter{}
	for _, a := range l.accounts {
		a.shares, a.demand, a.level, a.load = map[string]grantedShare{}, map[string]statedDemand{}, 0, 0
	}
}

// account returns the book of a customer, and creates it without a limit.
func (l *Ledger) account(now time.Duration, key Key) *account {
	a, ok := l.accounts[key]
	if !ok {
		a = &account{shares: map[string]grantedShare{}, demand: map[string]statedDemand{}, filledAt: now}
		l.accounts[key] = a
	}

	return a
}

// setLimits applies new limits. The book of a customer without a limit is kept while there
// are shares.
func (l *Ledger) setLimits(now time.Duration, limits map[Key]Limit) {
	for key, a := range l.accounts {
		if _, ok := limits[key]; !ok {
			l.settle(now, a)
			a.limit = Limit{}
			if len(a.shares) == 0 {
				delete(l.accounts, key)
			}
		}
	}
	for key, limit := range limits {
		a := l.account(now, key)
		l.settle(now, a)
		a.limit = limit
		l.settle(now, a)
	}
}

// tryOpen opens the ledger when all shares of earlier holders are known or have ended.
func (l *Ledger) tryOpen(now time.Duration) {
	if l.opened || l.era == 0 || now < l.opensAt && !l.allReported() {
		return
	}
	// Nothing fills while the ledger is closed.
	for _, a := range l.accounts {
		a.filledAt = now
	}
	l.opened = true
}

// allReported reports whether all listed entry VMs have said what they hold.
func (l *Ledger) allReported() bool {
	for _, name := range l.listed {
		if _, ok := l.reporters[name]; !ok {
			return false
		}
	}

	return len(l.listed) > 0
}

// tick drops what has ended.
func (l *Ledger) tick(now time.Duration) []Effect {
	if l.era == 0 {
		return nil
	}
	l.tryOpen(now)
	for key, a := range l.accounts {
		l.settle(now, a)
		if a.limit == (Limit{}) && len(a.shares) == 0 {
			delete(l.accounts, key)
		}
	}
	if now-l.announcedAt >= announceInterval {
		return l.announce(now)
	}

	return nil
}

// announce tells the entry VMs that have not reported who the holder is.
func (l *Ledger) announce(now time.Duration) []Effect {
	if l.era == 0 {
		return nil
	}
	l.announcedAt = now
	var effects []Effect
	for _, name := range l.listed {
		if _, ok := l.reporters[name]; !ok {
			effects = append(effects, Answer{To: name, Grant: Grant{Holder: l.name, Era: l.era}})
		}
	}

	return effects
}

// settle drops the shares and demands of an account that have ended, and fills its centre.
// It must be called before and after each change of the account.
func (l *Ledger) settle(now time.Duration, a *account) {
	centre := l.centre(a)
	if elapsed := now - a.filledAt; elapsed > 0 {
		a.level += centre.Rate.inSeconds(elapsed)
		a.filledAt = now
	}
	a.level = min(a.level, float64(centre.Depth))
	for name, s := range a.shares {
		if now >= s.end {
			delete(a.shares, name)
		}
	}
	for name, d := range a.demand {
		if now-d.at >= demandTTL {
			delete(a.demand, name)
		}
	}
}

// centre returns what of an account's limit no entry VM may use by itself.
func (l *Ledger) centre(a *account) Limit {
	if !l.opened {
		return Limit{}
	}
	sum := a.committed()

	return Limit{Rate: a.limit.Rate - min(sum.Rate, a.limit.Rate), Depth: a.limit.Depth - min(sum.Depth, a.limit.Depth)}
}

// committed returns the sum of the committed shares.
func (a *account) committed() Limit {
	var sum Limit
	for _, s := range a.shares {
		c := s.committed()
		sum.Rate += c.Rate
		sum.Depth += c.Depth
	}

	return sum
}

// answer handles a request. A request of an older incarnation or one that was handled
// already gets no answer, so that no token is given twice.
func (l *Ledger) answer(now time.Duration, r Request) []Effect {
	if l.era == 0 || r.Era != l.era {
		return nil
	}
	known, ok := l.reporters[r.Name]
	if ok && known.isOld(now, r) {
		return nil
	}
	isNew := !ok || r.Incarnation != known.incarnation
	if isNew && !r.Full {
		return nil
	}
	l.reporters[r.Name] = reporter{incarnation: r.Incarnation, sequence: r.Sequence, at: now}
	if isNew {
		l.forget(now, r.Name)
		for _, ask := range r.Asks {
			l.adopt(now, r.Name, ask)
		}
		l.tryOpen(now)
	}
	grant := Grant{Holder: l.name, Era: l.era, Incarnation: r.Incarnation, Sequence: r.Sequence}
	for _, ask := range r.Asks {
		if give, ok := l.give(now, r.Name, ask); ok {
			grant.Gives = append(grant.Gives, give)
		}
	}

	return []Effect{Answer{To: r.Name, Grant: grant}}
}

// forget frees all that an entry VM held, because the process that held it has ended.
func (l *Ledger) forget(now time.Duration, name string) {
	for _, a := range l.accounts {
		l.settle(now, a)
		delete(a.shares, name)
		delete(a.demand, name)
	}
}

// adopt enters a share that an earlier holder gave into the books.
func (l *Ledger) adopt(now time.Duration, name string, ask Ask) {
	held := Limit{Rate: ask.Rate, Depth: ask.Depth}
	if held == (Limit{}) {
		return
	}
	a := l.account(now, ask.Key)
	l.settle(now, a)
	l.serial++
	a.shares[name] = grantedShare{confirmed: held, offered: held, serial: l.serial, end: now + ShareTTL}
	l.settle(now, a)
}

// give answers one Ask. It returns false for a customer that is not known.
func (l *Ledger) give(now time.Duration, name string, ask Ask) (Give, bool) {
	a, ok := l.accounts[ask.Key]
	if !ok {
		return Give{}, false
	}
	l.settle(now, a)
	a.demand[name] = statedDemand{rate: ask.Demand, at: now}
	a.measureLoad(now)
	s, held := a.shares[name]
	if held && ask.Serial == s.serial {
		s.confirmed = s.offered
		a.shares[name] = s
		l.settle(now, a)
	}
	give := Give{Key: ask.Key}
	if tokens := min(ask.Waiting, uint32(min(a.level/float64(One), maxTokens))); tokens > 0 {
		give.Tokens = tokens
		a.level -= float64(tokens) * float64(One)
	}
	if next := l.nextShare(a, name, s); next != s.offered {
		l.serial++
		// A depth that grows is taken from the centre with as many tokens.
		give.Fill = next.Depth - min(s.committed().Depth, next.Depth)
		s.offered, s.serial = next, l.serial
	} else if held && ask.Serial == s.serial {
		give.Fill = min(ask.Missing, s.offered.Depth, Amount(a.level))
	}
	a.level -= float64(give.Fill)
	if s.committed() != (Limit{}) {
		s.end = now + ShareTTL
		a.shares[name] = s
	} else {
		delete(a.shares, name)
	}
	l.settle(now, a)
	give.Serial, give.Rate, give.Depth = s.serial, s.offered.Rate, s.offered.Depth
	switch short := give.Tokens < ask.Waiting; {
	case !l.opened:
	case (short || a.level < float64(One)) && a.isOverLimit():
		give.Shortage = OverLimit
	case short:
		give.Shortage = Empty
	}

	return give, true
}

// maxTokens bounds the tokens of one answer.
const maxTokens = 100_000

// Status is what the holder knows about a customer whose callers ask for more than its limit.
type Status struct {
	Key Key
	// Demand is the rate for which callers ask, Limit what all entry VMs together may use, and
	// Shares the part of it that entry VMs use by themselves.
	Demand        Amount
	Limit, Shares Limit
	EntryVMs      int
}

// OverLimit returns the status of each customer that is over its limit.
func (l *Ledger) OverLimit() []Status {
	var statuses []Status
	for key, a := range l.accounts {
		if l.opened && a.isOverLimit() {
			statuses = append(statuses, Status{Key: key, Demand: Amount(a.load), Limit: a.limit, Shares: a.committed(), EntryVMs: len(a.demand)})
		}
	}

	return statuses
}
