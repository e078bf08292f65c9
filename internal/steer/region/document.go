package region

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/greengagetally/greengagetally/internal/api/peerpb"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

const (
	// storeCallTimeout is the time after which a store call without an answer
	// counts as lost. The runtime reports a failure of the store sooner than that.
	storeCallTimeout = 10 * time.Second
	// The pause before a call is repeated doubles from storeRetryPauseMin to
	// storeRetryPauseMax. Its random part spreads the calls of many members after a
	// conflict or an outage of the store.
	storeRetryPauseMin = 200 * time.Millisecond
	storeRetryPauseMax = 10 * time.Second
)

// capacityDocument is the value of the store key capacity/<region>: the members
// of the region and the tokens that the last recount granted to them.
type capacityDocument struct {
	// Epoch rises by one with each recount that is written.
	Epoch uint64 `json:"epoch"`
	// Ballot and RecountedBy identify the recount that wrote the epoch.
	Ballot      uint64         `json:"ballot"`
	RecountedBy member         `json:"recounted-by"`
	Members     []member       `json:"members"`
	Grants      []memberGrants `json:"grants"`
	// Nonce is a random number that identifies the write.
	Nonce uint64 `json:"nonce"`
}

// member is an event.Member as stored in the capacity document.
type member struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// memberGrants holds the tokens that a recount granted to one member. The member
// adds them to the tokens it holds, once.
type memberGrants struct {
	member

	Tokens []poolGrant `json:"tokens"`
}

// poolGrant is a number of tokens granted of one pool. Capacity is the capacity of
// the pool in the configuration of the member that granted the tokens.
type poolGrant struct {
	Pool     string `json:"pool"`
	Tokens   int64  `json:"tokens"`
	Capacity int64  `json:"capacity"`
}

// storeCalls tracks the reads and writes of the capacity document. At most one read
// or write is outstanding.
type storeCalls struct {
	reading    bool
	writing    bool
	writeNonce uint64
	startedAt  time.Duration
	// readWanted is true when the document must be read, at nextRead or later.
	readWanted bool
	nextRead   time.Duration
	retryPause time.Duration
	// write is the document that was written last. It is adopted once the store
	// call is known to have succeeded. expectedVersion is the version of the
	// document that it replaces.
	write           capacityDocument
	expectedVersion uint64
}

// documentKey returns the store key of the region's capacity document.
func (c *core) documentKey() string {
	return "capacity/" + c.settings.Region
}

func (c *core) self() member {
	return member(c.settings.Self)
}

// tickStore gives up a call that counts as lost, and reads the document when a
// read is wanted or this member is not registered.
func (c *core) tickStore() {
	if c.farewellSent {
		return
	}
	if (c.store.reading || c.store.writing) && c.now-c.store.startedAt > storeCallTimeout {
		c.store.reading, c.store.writing = false, false
		c.store.readWanted = true
	}
	if !c.registered {
		c.store.readWanted = true
	}
	if !c.store.readWanted || c.store.reading || c.store.writing || c.now < c.store.nextRead {
		return
	}
	c.read()
}

// read asks the runtime for the document; documentRead takes the answer.
func (c *core) read() {
	c.store.reading, c.store.readWanted, c.store.startedAt = true, false, c.now
	c.effects = append(c.effects, event.ReadDocument{Key: c.documentKey()})
}

// write asks the runtime to store d if the stored document still has the version
// expectedVersion. documentWritten takes the result.
func (c *core) write(d capacityDocument, expectedVersion uint64) {
	d.Nonce = c.rng.Uint64()
	value, err := json.Marshal(d)
	if err != nil {
		c.log(event.LevelWarn, fmt.Sprintf("cannot encode the capacity document: %v", err))

		return
	}
	c.store.writing, c.store.writeNonce, c.store.startedAt = true, d.Nonce, c.now
	c.store.write, c.store.expectedVersion = d, expectedVersion
	c.effects = append(c.effects, event.WriteDocument{Key: c.documentKey(), ExpectedVersion: expectedVersion, Value: value, Nonce: d.Nonce})
}

// scheduleStoreRetry schedules a read after a pause that doubles with each retry
// and is partly random.
func (c *core) scheduleStoreRetry() {
	c.store.retryPause = min(storeRetryPauseMax, max(storeRetryPauseMin, 2*c.store.retryPause))
	c.store.nextRead = c.now + c.store.retryPause/2 + time.Duration(c.rng.Int64N(int64(c.store.retryPause)))
	c.store.readWanted = true
}

// documentRead adopts the document that was read, and then registers this member
// or goes on with a recount.
func (c *core) documentRead(e event.DocumentRead) {
	if e.Key != c.documentKey() || c.farewellSent {
		return
	}
	c.store.reading = false
	if e.Failed {
		c.scheduleStoreRetry()

		return
	}
	var d capacityDocument
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &d); err != nil {
			c.log(event.LevelWarn, fmt.Sprintf("cannot decode the capacity document: %v", err))
			c.scheduleStoreRetry()

			return
		}
	}
	if e.Version < c.docVersion {
		return
	}
	c.adoptDocument(d, e.Version)
	if !c.registered {
		c.register()

		return
	}
	c.store.retryPause = 0
	c.continueRecount()
}

// adoptDocument takes d as the newest known document. If d no longer lists this
// member, it drops all tokens held. If the epoch of d is above appliedEpoch, it adds
// this member's own grants, unless this member has sent its farewell.
func (c *core) adoptDocument(d capacityDocument, version uint64) {
	c.doc, c.docVersion = d, version
	member := slices.Contains(d.Members, c.self())
	if c.registered && !member {
		// Other members count this member's tokens as lost.
		c.log(event.LevelWarn, "this member was removed from the capacity document; its tokens are dropped")
		for _, p := range c.pools {
			p.held = 0
		}
	}
	if member && !c.registered && c.replacedOlder {
		c.needRecount("an older incarnation of this VM was replaced")
	}
	c.registered = member
	c.raiseCut(d.Ballot)
	for _, g := range d.Grants {
		if g.member == c.self() {
			c.applyGrants(d.Epoch, g.toProto())
		}
	}
	// Grants of this epoch that were not added are given up; the next recount
	// grants their tokens anew.
	c.appliedEpoch = max(c.appliedEpoch, d.Epoch)
	if c.lastFreeze != nil && d.Epoch > c.lastFreeze.epoch {
		c.recordRecountEnd(d.Ballot)
	}
	c.forgetDepartedMembers()
	if c.registered && d.Epoch == 0 {
		c.needRecount("no tokens have been granted yet")
	}
}

// applyGrants adds the grants of an epoch to the tokens held, unless the grants
// were added or given up before.
func (c *core) applyGrants(epoch uint64, granted []*peerpb.PoolTokens) {
	if epoch <= c.appliedEpoch || c.farewellSent {
		return
	}
	c.appliedEpoch = epoch
	c.creditTokens(granted)
}

// register writes this member into the document. It replaces older incarnations of
// the same VM, because the platform runs one process on a VM at a time.
func (c *core) register() {
	d := c.doc
	d.Members = slices.DeleteFunc(slices.Clone(d.Members), func(m member) bool { return m.VM == c.self().VM })
	c.replacedOlder = c.replacedOlder || len(d.Members) < len(c.doc.Members)
	d.Members = append(d.Members, c.self())
	c.write(d, c.docVersion)
}

// documentWritten takes the result of write. When it is not known whether the
// write took effect, a recount goes on after the document has been read back.
func (c *core) documentWritten(e event.DocumentWritten) {
	if e.Key != c.documentKey() || !c.store.writing || e.Nonce != c.store.writeNonce {
		return
	}
	c.store.writing = false
	if e.Result == event.WriteDone {
		c.adoptDocument(c.store.write, e.Version)
		c.store.retryPause = 0
		c.completeRecount()

		return
	}
	if c.recount != nil && e.Result != event.WriteUnknown {
		c.failRecount("the store refused the write or another member wrote first")
	}
	c.scheduleStoreRetry()
}

// toProto converts the grants to the form used in peer messages.
func (g memberGrants) toProto() []*peerpb.PoolTokens {
	out := make([]*peerpb.PoolTokens, 0, len(g.Tokens))
	for _, t := range g.Tokens {
		out = append(out, &peerpb.PoolTokens{Pool: t.Pool, Tokens: t.Tokens, Capacity: t.Capacity})
	}

	return out
}
