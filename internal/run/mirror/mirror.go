// Package mirror keeps copies of the store's tables in memory and decides when an entry
// VM reads one again, for greengagetally-platform. A table is all keys of the store that
// begin with one prefix. The entry VMs are ranked for each table: the first in rank
// reads the table from the store, and the others copy the changes from that entry VM.
// When it stops reading, the next in rank takes over.
//
// Tables are read at intervals instead of watched: the cost is the same whatever
// changes, and no change is missed. A watch misses changes when its connection goes
// silent or the store has dropped the history that the watch needs.
package mirror

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/steer/proof"
	"github.com/greengagetally/greengagetally/internal/value/option"
	"github.com/greengagetally/greengagetally/internal/value/table"
	"github.com/greengagetally/greengagetally/internal/value/units"
)

// Item is one key of the store with its value.
type Item = table.Item

// Page is one part of a table that was read in parts.
type Page struct {
	Items []Item
	// More is true when the table has items after those of the page.
	More bool
	// Revision is the store's revision when it read the page, in the era Era. The era rises
	// when the store comes back from an older copy.
	Revision uint64
	Era      uint64
}

// Source is the interface to the store that a mirror reads. Every call returns when its
// context ends.
type Source interface {
	// Range returns the next page of the items whose keys begin with prefix, in the
	// order of their keys, from the first key greater than afterKey. afterKey is "" for
	// the first page. Range fails when the store does not answer or refuses.
	Range(ctx context.Context, prefix, afterKey string) (Page, error)
}

const (
	// readTimeout bounds one read of a table.
	readTimeout = time.Second
	// readRetryPause is the pause of an entry VM after a failed read.
	readRetryPause = 500 * time.Millisecond
	// readRankDelay is how much later an entry VM reads a table than the entry VM
	// before it in rank. The delay covers the time until the read of that entry VM is
	// known here.
	readRankDelay = 250 * time.Millisecond
	// firstReadRankDelay replaces readRankDelay until there is a copy, because callers
	// may be waiting for it. The delay covers the report of the other entry VM's read
	// and the copying of the table inside a region.
	firstReadRankDelay = 80 * time.Millisecond
	// maxReadRank is the rank above which a rank adds only highRankDelay. If many entry VMs
	// lack a copy, they then read the table one after the other, and those whose turn
	// has not come can copy it. For an old copy all these ranks together add at most
	// maxHighRankDelay, because changes must be applied in time.
	maxReadRank      = 4
	highRankDelay    = 10 * time.Millisecond
	maxHighRankDelay = time.Second
	// copyGraceFactor is how much longer, in units of MaxAge, a copy may grow old while
	// another entry VM is known to have read a newer one, which should arrive by then. For
	// as long a copy that is not exact may count as fresh: the entry VM that read it reads
	// again meanwhile.
	copyGraceFactor = 2
	// retryRankDelay and maxRetryRank spread the retries of entry VMs whose reads fail, so
	// that not all of them call a store that does not answer.
	retryRankDelay = 250 * time.Millisecond
	maxRetryRank   = 8
	// maxReadStarts is how often a read begins anew because the store's era rose meanwhile.
	maxReadStarts = 3
	// maxReportedReadAge is the age from which a read is no longer reported to others.
	maxReportedReadAge = 2 * time.Second
)

var (
	errOldEra     = errors.New("answer is of an older era of the store")
	errEraChanges = errors.New("the store's era changes during reads")
)

// Snapshot is a copy of a whole table.
type Snapshot struct {
	// Items are the items by key.
	Items map[string]Item
	// Revision is the store's revision at the read that showed the last change, in the era Era.
	Revision uint64
	Era      uint64
}

// Version returns the version of the copy.
func (s Snapshot) Version() table.Version {
	return table.Version{Era: s.Era, Revision: s.Revision}
}

// Delta is what changed in the store's table since an older copy. Entry VMs send it to
// each other under these field names.
type Delta struct {
	table.Delta

	// Kept are the items that the sender keeps although the store no longer has them, see
	// Options.DeletionGrace, and KeptMillis is for how much longer. Only a receiver without
	// a copy of its own takes them over.
	Kept       map[string]Item
	KeptMillis int64
	// ReadAgeMillis is how long ago some entry VM read the table, as far as the sender
	// knows.
	ReadAgeMillis int64
}

// Options configure a mirror.
type Options struct {
	// Prefix is the prefix of the table's keys in the store.
	Prefix string
	// MaxAge is how old a copy may grow before the entry VM that is first in rank reads
	// the table again.
	MaxAge time.Duration
	// MaxItemBytes is the size of the longest value that is kept. A longer value is replaced
	// by an empty one, so that items of other writers do not fill the memory. 0 is no limit.
	MaxItemBytes int
	// DeletionGrace is how long items that are missing from the store are kept after an
	// outage. The time counts from when the store answers again. The owners of the
	// items may write them again in this time. 0 keeps none.
	DeletionGrace time.Duration
	// OutageGap is the time without a read by any entry VM after which a read counts as
	// the end of an outage. A shorter outage does not make items expire.
	OutageGap time.Duration
	// OnChange is called with the new copy after every change, one call at a time.
	OnChange func(Snapshot)
	// Marks returns the marks of the digests that this entry VM received last. It is called
	// before each read. nil if entry VMs tell each other no marks.
	Marks func() []proof.Mark
}

// Mirror holds the copy of one table and the state that decides when to read it again.
// Its methods may be called concurrently.
type Mirror struct {
	source  Source
	clock   timer.TimeSource
	log     *zap.Logger
	options Options

	// publishMu orders the calls of Options.OnChange. It is locked before mu.
	publishMu sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// table is the copy of the store's table. kept are the items that are kept until
	// keptUntil although the table no longer has them. snapshot is both together.
	table     table.Copy
	kept      map[string]Item
	keptUntil time.Duration
	snapshot  Snapshot
	// reading is true while a read is in progress.
	reading bool
	// retryAt is the earliest time of the next read after a failed read.
	retryAt time.Duration
	// firstDueAt is when Due was first called without a copy. The delay of the first
	// read counts from then.
	firstDueAt option.Option[time.Duration]
	// freshAt is the latest time at which the copy is known to have equalled the store's
	// table. ownReadAt is the start of this entry VM's own last read.
	freshAt   time.Duration
	ownReadAt time.Duration
	// replacedAt is when the copy was last replaced.
	replacedAt time.Duration
	// newerReadAt is when another entry VM last read a newer table than the copy.
	newerReadAt time.Duration
	// failing is true while own reads fail.
	failing bool
	// readAt is the time of the newest read of the table by any entry VM, as far as it is
	// known here. storeUpAt is the time of the last read that ended an outage.
	readAt    option.Option[time.Duration]
	storeUpAt option.Option[time.Duration]
	// proof is that of the copy which Options.OnChange got last. loadedAt is when the first
	// copy came.
	proof    proof.Copy
	loadedAt option.Option[proof.Moment]
	// ownMarks were noted before the last own read that proved the copy.
	ownMarks []proof.Mark
	// eraSeen is the highest era of the store that was seen, here or by another entry VM.
	eraSeen uint64
	// behind is true while the copy is known to be older than what is in force.
	behind bool
}

// New returns a mirror without a copy.
func New(source Source, clock timer.TimeSource, log *zap.Logger, options Options) *Mirror {
	return &Mirror{
		source: source, clock: clock, log: log.With(zap.String("table", options.Prefix)), options: options,
		snapshot: Snapshot{Items: map[string]Item{}},
	}
}

// Snapshot returns the current copy with the items that are kept after an outage. The
// caller must not change it.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.snapshot
}

// Loaded reports whether there is a copy, read from the store or from another entry VM.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.table.Loaded()
}

// Version returns the version of the copy. ok is false while there is none.
func (m *Mirror) Version() (version table.Version, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.table.Version(), m.table.Loaded()
}

// SetBehind says whether the copy is older than what is in force, because the store came
// back from an older copy. No reading proves it then. It is called by Options.OnChange.
func (m *Mirror) SetBehind(behind bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behind = behind
}

// OwnReadAge returns how long ago this entry VM itself read the table from the store.
// ok is false without a read in the last maxReportedReadAge. Only own reads are
// reported to other entry VMs. If the ages of others' reads were passed on too, they
// would leave out the transit time of each message, and the copies of two entry VMs
// that report to each other would never seem to age.
func (m *Mirror) OwnReadAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age = m.clock.Now() - m.ownReadAt

	return age, m.table.Loaded() && m.ownReadAt > 0 && age < maxReportedReadAge
}

// OwnRead is a read of the table by this entry VM itself.
type OwnRead struct {
	// Version is that of the copy, and Shown the one up to which it shows all changes.
	Version, Shown table.Version
	Age            time.Duration
	// Marks are those of digests that were received before the read began. Without marks the
	// read proves nothing to others.
	Marks []proof.Mark
}

// OwnRead returns the last own read as it is told to others, see OwnReadAge.
func (m *Mirror) OwnRead() (read OwnRead, ok bool) {
	age, ok := m.OwnReadAge()
	m.mu.Lock()
	defer m.mu.Unlock()

	read = OwnRead{Version: m.table.Version(), Age: age}
	if m.table.IsExact() && len(m.ownMarks) > 0 {
		read.Shown, read.Marks = m.table.Shown(), m.ownMarks
	}

	return read, ok
}

// ProvenAge returns how long ago a read of the store began that showed no change after the
// copy. ok is false while there is no copy, or no proof for it.
//
// Options.OnChange has returned for the copy that the age is told of. A caller that decides
// by a copy must ask for its age before it takes the copy: one that comes between the two
// is as good, an older copy is not.
//
// Without Options.Marks the age is the one that others told.
func (m *Mirror) ProvenAge() (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.options.Marks == nil {
		return m.clock.Now() - m.freshAt, m.table.Loaded()
	}
	at, ok := m.proof.ProvenAt()
	if !ok {
		return 0, false
	}

	return at.Until(m.now()), true
}

// ProofDue reports whether the copy should be read because there has been no proof for the
// time limit. After a failed read it waits for retryDelay more.
func (m *Mirror) ProofDue(limit, retryDelay time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	loadedAt, loaded := m.loadedAt.Get()
	if m.reading || !loaded || m.failing && m.clock.Now() < m.retryAt+retryDelay {
		return false
	}
	provenAt, ok := m.proof.ProvenAt()
	if !ok {
		provenAt = loadedAt
	}

	return provenAt.Until(m.now()) >= limit
}

// ObserveReading records a read of the table by another entry VM.
func (m *Mirror) ObserveReading(r proof.Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proof.Equals(r) && r.Version == m.table.Version() {
		// An older copy of another entry VM must not replace it any more.
		m.table = m.table.WithShown(r.Shown.Revision)
	}
	m.proof = m.proof.WithReading(r)
}

// now returns the time by both clocks.
func (m *Mirror) now() proof.Moment {
	return proof.NewMoment(m.clock.Now(), m.clock.Wall())
}

// isExact reports whether readings of the copy's version can prove it. Callers hold m.mu.
func (m *Mirror) isExact() bool {
	return m.table.IsExact() && !m.behind
}

// publish passes the copy to Options.OnChange. Only then does a proof hold for it. Callers
// hold m.publishMu.
func (m *Mirror) publish() {
	m.options.OnChange(m.Snapshot())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proof = m.proof.WithCopy(m.table.Version(), m.table.Shown(), m.isExact())
	m.loadedAt = option.Some(m.loadedAt.Or(m.now()))
}

// Failing reports whether there is a copy and the last read from the store failed.
func (m *Mirror) Failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.failing && m.table.Loaded()
}

// Due reports whether this entry VM should read the table now. readRank and retryRank
// are the ranks of this entry VM, from 0, in the order of reading the table. readRank
// counts only entry VMs whose reads do not fail, retryRank counts all.
func (m *Mirror) Due(readRank, retryRank int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.reading || now < m.retryAt {
		return false
	}
	if m.failing && m.table.Loaded() && now < m.retryAt+time.Duration(min(retryRank, maxRetryRank))*retryRankDelay {
		return false
	}

	if !m.table.Loaded() {
		firstDueAt := m.firstDueAt.Or(now)
		m.firstDueAt = option.Some(firstDueAt)

		return now >= firstDueAt+rankDelay(readRank, firstReadRankDelay, math.MaxInt64)
	}
	freshAt := max(m.freshAt, min(m.newerReadAt, m.freshAt+copyGraceFactor*m.options.MaxAge))

	return now >= freshAt+m.options.MaxAge+rankDelay(readRank, readRankDelay, maxHighRankDelay)
}

// rankDelay returns how much later an entry VM reads a table than the first in rank. Each
// rank up to maxReadRank adds step, each further rank highRankDelay, and all further
// ranks together at most maxHigh.
func rankDelay(rank int, step, maxHigh time.Duration) time.Duration {
	high := time.Duration(max(rank-maxReadRank, 0)) * highRankDelay

	return time.Duration(min(rank, maxReadRank))*step + min(high, maxHigh)
}

// Read reads the table from the store and reports whether the copy changed. It returns
// false when the read fails or takes longer than readTimeout. While another call is
// reading, it returns false at once.
func (m *Mirror) Read(ctx context.Context) bool {
	m.mu.Lock()
	if m.reading {
		m.mu.Unlock()

		return false
	}
	m.reading = true
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var marks []proof.Mark
	if m.options.Marks != nil {
		marks = m.options.Marks()
	}
	start := m.now()
	read, err := m.readAll(ctx)
	if err != nil {
		m.readFailed(err)

		return false
	}

	return m.readSucceeded(read, start, marks)
}

// wholeRead is the result of a read of the whole table: the items by key, and the store's
// revisions at the first and at the last page. The store may have changed between them, but
// its era has not.
type wholeRead struct {
	items         map[string]Item
	era           uint64
	first, newest uint64
}

// readAll reads all pages of the table, again if the era rose meanwhile.
func (m *Mirror) readAll(ctx context.Context) (wholeRead, error) {
	for range maxReadStarts {
		read, err := m.readPages(ctx)
		if !errors.Is(err, errEraChanges) {
			return read, err
		}
	}

	return wholeRead{}, errEraChanges
}

// readPages reads all pages of the table. It fails with errEraChanges if they are of
// different eras.
func (m *Mirror) readPages(ctx context.Context) (wholeRead, error) {
	read := wholeRead{items: map[string]Item{}}
	afterKey := ""
	for {
		page, err := m.source.Range(ctx, m.options.Prefix, afterKey)
		if err != nil {
			return wholeRead{}, err //nolint:wrapcheck // The source describes its calls.
		}
		switch {
		case afterKey == "":
			read.era, read.first = page.Era, page.Revision
		case page.Era != read.era:
			return wholeRead{}, errEraChanges
		}
		read.newest = page.Revision
		for _, item := range page.Items {
			if m.options.MaxItemBytes > 0 && len(item.Value) > m.options.MaxItemBytes {
				item.Value = nil
			}
			read.items[item.Key] = item
			afterKey = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return read, nil
		}
	}
}

// readFailed ends a read that failed. Only the first failure of an outage is logged.
func (m *Mirror) readFailed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = false
	m.retryAt = m.clock.Now() + readRetryPause
	if m.failing {
		return
	}
	m.failing = true
	m.log.Warn("store does not answer, keeping the last copy", zap.Uint64("revision", m.table.Version().Revision), zap.Error(err))
}

// readSucceeded ends a read that began at start, after marks were noted. It reports whether
// the copy changed.
func (m *Mirror) readSucceeded(read wholeRead, start proof.Moment, marks []proof.Mark) bool {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	if read.era < m.eraSeen {
		m.mu.Unlock()
		m.readFailed(errOldEra)

		return false
	}
	m.reading = false
	m.noteRead(start.Elapsed())
	if m.failing {
		m.failing = false
		m.log.Info("store answers", zap.Uint64("revision", read.first), zap.Uint64("era", read.era), zap.Int("items", len(read.items)))
	}
	m.freshAt, m.ownReadAt = max(m.freshAt, start.Elapsed()), start.Elapsed()
	next, changed := m.table.WithRead(read.items, read.era, read.first, read.newest)
	if changed {
		m.replace(next)
	}
	m.table = next
	m.mu.Unlock()
	if changed {
		m.publish()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The copy shows at least what the read has shown, so the read proves it.
	if m.isExact() && read.era == m.table.Version().Era {
		m.proof = m.proof.WithReading(proof.Reading{Version: m.table.Version(), Shown: m.table.Shown(), After: start})
		m.ownMarks = marks
	}

	return changed
}

// replace replaces the copy. Callers hold m.mu.
func (m *Mirror) replace(next table.Copy) {
	if era := next.Version().Era; m.table.Loaded() && era > m.table.Version().Era {
		m.noteNewEra(era)
	}
	m.table, m.replacedAt = next, m.clock.Now()
	m.eraSeen = max(m.eraSeen, next.Version().Era)
	m.keepMissing()
}

// ObserveVersion records the version of another entry VM's copy. readAge is how long
// ago that entry VM itself read the copy from the store, or nothing if it did not.
// ObserveVersion reports whether the own copy is older or missing.
func (m *Mirror) ObserveVersion(version table.Version, readAge option.Option[time.Duration]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.eraSeen = max(m.eraSeen, version.Era)
	age, read := readAge.Get()
	if read {
		m.noteRead(m.clock.Now() - age)
	}
	if !m.table.Loaded() || m.table.Version().Before(version) {
		if read {
			m.newerReadAt = max(m.newerReadAt, m.clock.Now()-age)
		}

		return true
	}
	trusted := m.table.IsExact() || m.clock.Now() < m.replacedAt+copyGraceFactor*m.options.MaxAge
	if read && version == m.table.Version() && trusted {
		m.freshAt = max(m.freshAt, m.clock.Now()-age)
	}

	return false
}

// ChangesSince returns what changed in the table after a version, or the whole table, see
// table.Copy.DeltaSince. The zero version stands for no copy.
func (m *Mirror) ChangesSince(version table.Version) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	delta := Delta{Delta: m.table.DeltaSince(version), ReadAgeMillis: (now - m.readAt.Or(now)).Milliseconds()}
	if version.Revision == 0 {
		delta.Kept, delta.KeptMillis = m.kept, (m.keptUntil - now).Milliseconds()
	}

	return delta
}

// ApplyDelta applies a delta of another entry VM to the own copy. It changes nothing and
// returns false when the delta is not newer than the own copy, or does not reach back to
// it.
func (m *Mirror) ApplyDelta(delta Delta) bool {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.mu.Lock()
	wasLoaded := m.table.Loaded()
	next, ok := m.table.WithDelta(delta.Delta)
	if !ok {
		m.mu.Unlock()

		return false
	}
	m.noteRead(m.clock.Now() - units.ClampMillis(float64(delta.ReadAgeMillis)))
	m.replace(next)
	if !wasLoaded {
		m.keepReceived(delta)
	}
	m.mu.Unlock()
	m.publish()

	return true
}
