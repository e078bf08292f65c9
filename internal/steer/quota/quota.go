// Package quota divides the limits of customers among the entry VMs of
// greengagetally-platform. A limit holds for the sum of the requests that all entry VMs
// admit, in touch with each other or not.
//
// Terms of this package:
//   - A token admits one request. A bucket fills with tokens at a rate up to a depth.
//   - The holder is the entry VM that hands out a customer's limit. At most one process has
//     the right to do so at a time; its era numbers the rights in their order.
//   - A share is the part of a limit that one entry VM may use by itself until the share
//     ends: the rate and the depth of a bucket. The holder keeps the rest as the centre, from
//     which it gives single tokens.
//
// There are two reducers without I/O: Ledger is the holder's part, Shares is that of each
// entry VM. The rates and depths of the centre and of all shares never add up to more than
// the limit, and tokens are moved, never made. Two delays let tokens be used later than they
// left a bucket: an answer of the holder is under way for at most tokenLife, and a token may
// be given back for at most returnTime. In a window therefore at most
// rate x (window + tokenLife + returnTime) + depth requests are admitted, and EffectiveLimit
// chooses rate and depth so that this is within the tolerance.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagetally/greengagetally/internal/steer/intent"
)

// Amount is a number of requests, or of requests per second, in thousandths. All entry VMs
// count in whole Amounts, so that sums are exact.
type Amount uint64

// One is the Amount of one request.
const One Amount = 1000

// maxAmount bounds the Amounts that are read from messages and configurations.
const maxAmount = 1 << 40

// Clamp returns n as an Amount of bounded size.
func Clamp(n uint64) Amount {
	return Amount(min(n, maxAmount))
}

// Key stands for a customer in messages.
type Key uint64

// KeyOf returns the key of the customer with a name.
func KeyOf(name string) Key {
	return Key(xxhash.Sum64String(name))
}

// Limit is what a customer may use at all entry VMs together: a rate per second, and the
// depth of a bucket that fills with it.
type Limit struct {
	Rate, Depth Amount
}

// Tolerance says how far a customer may exceed its configured limit: in each Window, at most
// (rate x Window + burst) x (1 + Overage) + Allowance requests may be admitted.
type Tolerance struct {
	Window    time.Duration
	Overage   float64
	Allowance float64
}

const (
	// ShareTTL is how long a share holds without an answer of the holder.
	ShareTTL = 5 * time.Second
	// maxSettleTime bounds the part of a window that is kept for tokens under way.
	// settleDivisor is that part's divisor for short windows.
	maxSettleTime = 250 * time.Millisecond
	settleDivisor = 20
	// The depth of a limit is spreadDepth, so that each of a few entry VMs can hold a whole token,
	// and depthPerRoot for the square root of the rate, which is how much the requests of a
	// second vary; it is at most maxDepthPart of what a window allows.
	spreadDepth  = 20
	depthPerRoot = 4
	maxDepthPart = 0.5
	// returnPart is the part of the settle time for tokens that are given back.
	returnPart = 5
)

// settleTime is the longest time from when a token left a bucket to its last use.
func (t Tolerance) settleTime() time.Duration {
	return min(maxSettleTime, t.Window/settleDivisor)
}

// returnTime is how long after its use a token may be given back.
func (t Tolerance) returnTime() time.Duration {
	return t.settleTime() / returnPart
}

// tokenLife is how long after a request for tokens the tokens of its answer may be used.
func (t Tolerance) tokenLife() time.Duration {
	return t.settleTime() - t.returnTime()
}

// EffectiveLimit returns the rate and the depth with which a configured limit is kept within
// the tolerance. What a window allows becomes rate, as far as varying requests do not need a
// depth: a customer may send the same in each window, and what is within its limit should not
// be refused.
func EffectiveLimit(limit intent.RateLimit, t Tolerance) Limit {
	total := (limit.PerSecond*t.Window.Seconds()+limit.Burst)*(1+t.Overage) + t.Allowance
	if !(total >= 1) || t.Window <= 0 {
		return Limit{}
	}
	// A bucket that holds less than a whole token admits nothing.
	depth := max(min(spreadDepth+depthPerRoot*math.Sqrt(limit.PerSecond), maxDepthPart*total), 1)

	return Limit{Rate: amountOf((total - depth) / (t.Window + t.settleTime()).Seconds()), Depth: amountOf(depth)}
}

// amountOf returns a number of requests as an Amount, rounded down.
func amountOf(n float64) Amount {
	return Amount(math.Floor(min(max(n, 0)*float64(One), maxAmount)))
}

// Requests returns the Amount as a number of requests.
func (a Amount) Requests() float64 {
	return float64(a) / float64(One)
}

// inSeconds returns what an Amount per second comes to in a time.
func (a Amount) inSeconds(d time.Duration) float64 {
	return float64(a) * max(d, 0).Seconds()
}

// Ask is what an entry VM says about one customer.
type Ask struct {
	Key Key
	// Demand is the rate at which the callers of the entry VM ask, refused requests included.
	Demand Amount
	// Waiting is the number of requests for which no token was asked yet.
	Waiting uint32
	// Serial is the serial of the share that the entry VM uses, or 0 if that share is not
	// from the holder's era; then Rate and Depth describe it.
	Serial      uint32
	Rate, Depth Amount
	// Missing is what the bucket of a share from the holder's era could take.
	Missing Amount
}

// Request is a message of an entry VM to the holder.
type Request struct {
	// Name is the entry VM, Incarnation its start; a later start has a higher one.
	Name        string
	Incarnation uint64
	// Era is that of the holder to which the request goes.
	Era uint64
	// Sequence rises with each request of an incarnation.
	Sequence uint64
	// Full is true when Asks has all shares that the entry VM may use. That is so until it
	// has an answer of the holder.
	Full bool
	Asks []Ask
}

// Shortage says why a customer's requests get no tokens.
type Shortage uint8

// Shortages.
const (
	// NoShortage: there are tokens, or the holder cannot know yet whether there are any.
	NoShortage Shortage = iota
	// Empty: the centre has no token at the moment.
	Empty
	// OverLimit: the callers ask for more than the limit.
	OverLimit
)

// Give is the answer to one Ask.
type Give struct {
	Key Key
	// Serial, Rate and Depth are the share that replaces the entry VM's.
	Serial      uint32
	Rate, Depth Amount
	// Tokens are for waiting requests only, Fill goes to the bucket of the share.
	Tokens   uint32
	Fill     Amount
	Shortage Shortage
}

// Grant is the holder's answer to a request. Without a Sequence it only announces the
// holder.
type Grant struct {
	Holder string
	Era    uint64
	// Incarnation and Sequence are those of the request.
	Incarnation uint64
	Sequence    uint64
	Gives       []Give
}
