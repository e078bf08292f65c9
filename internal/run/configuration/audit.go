package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/config/change"
)

const (
	// maxAuditTries bounds the tries to write one record, or the accepted records of
	// one root, by compare-and-swap.
	maxAuditTries = 8
	// auditRetryInterval is the time between tries to write the pending records;
	// without such records the store is not called.
	auditRetryInterval = 5 * time.Second
	// maxPendingRecords bounds the records that wait for the store.
	maxPendingRecords = 1000
)

var errAuditNotWritten = errors.New("the audit trail could not be written")

// auditPageKey returns the store key of a page of the audit trail.
func auditPageKey(number int) string {
	return fmt.Sprintf("audit/%d", number)
}

// readPage returns a page and its document version, which is 0 if the page does
// not exist.
func (c *Configuration) readPage(ctx context.Context, number int) (change.Page, uint64, error) {
	doc, err := c.Store.Read(ctx, auditPageKey(number))
	if err != nil {
		return change.Page{}, 0, fmt.Errorf("read audit page %d: %w", number, err)
	}
	page, err := change.DecodePage(number, doc.Value)

	return page, doc.Version, err
}

// readLastPage returns the page to which the next record belongs, and its document
// version, which is 0 if the page does not exist yet.
func (c *Configuration) readLastPage(ctx context.Context) (change.Page, uint64, error) {
	c.mu.Lock()
	number := max(c.auditPage.Number, c.root.AuditPage)
	c.mu.Unlock()
	auditPage, version, err := c.readPage(ctx, number)
	for err == nil && auditPage.Full() {
		var next change.Page
		next, version, err = c.readPage(ctx, auditPage.Number+1)
		if version == 0 {
			next = auditPage.Next()
		}
		auditPage = next
	}
	if err != nil {
		return change.Page{}, 0, err
	}
	c.noteAuditPage(auditPage)

	return auditPage, version, nil
}

// noteAuditPage stores a page as the last known one if its number is higher, or if its
// number is the same and it has more records.
func (c *Configuration) noteAuditPage(auditPage change.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if auditPage.Number > c.auditPage.Number || auditPage.Number == c.auditPage.Number && len(auditPage.Records) > len(c.auditPage.Records) {
		c.auditPage = auditPage
	}
}

// auditedThrough returns the version up to which accepted changes are known to be
// in the audit trail.
func (c *Configuration) auditedThrough() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.auditPage.AcceptedThrough
}

// auditAccepted copies the accepted changes of a root to the audit trail. Any entry VM
// can repeat the copy, because Page.AcceptedThrough tells which changes the trail holds
// already.
func (c *Configuration) auditAccepted(ctx context.Context, root change.Root) error {
	for range maxAuditTries {
		page, version, err := c.readLastPage(ctx)
		if err != nil {
			return err
		}
		missing := page.Missing(root)
		if len(missing) == 0 {
			return nil
		}
		next, rest := page.With(missing...)
		if c.writePage(ctx, next, version) && len(rest) == 0 {
			return nil
		}
	}

	return errAuditNotWritten
}

// writePage writes a page if its document in the store still has expectedVersion. It
// reports whether the write is known to have taken effect; if not, the page must be read
// again.
func (c *Configuration) writePage(ctx context.Context, page change.Page, expectedVersion uint64) bool {
	data, err := page.Encode()
	if err != nil {
		return false
	}
	if _, err = c.Store.Write(ctx, auditPageKey(page.Number), expectedVersion, data); err != nil {
		return false
	}
	c.noteAuditPage(page)

	return true
}

// record writes r to the audit trail; r is the record of a change that made no version.
// If the store does not take it, r becomes a pending record.
func (c *Configuration) record(ctx context.Context, r change.Record) {
	if err := c.appendRecord(ctx, r); err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingRecords) >= maxPendingRecords {
		c.Log.Error("audit record dropped: too many wait for the store", zap.String("author", c.pendingRecords[0].Author),
			zap.String("nonce", c.pendingRecords[0].Nonce))
		c.pendingRecords = c.pendingRecords[1:]
	}
	c.pendingRecords = append(c.pendingRecords, r)
}

// appendRecord adds the record to the audit trail. Before each write it looks for the
// record on the pages, because the previous write may have taken effect without an
// answer.
func (c *Configuration) appendRecord(ctx context.Context, r change.Record) error {
	firstPage := -1
	for range maxAuditTries {
		page, version, err := c.readLastPage(ctx)
		if err != nil {
			return err
		}
		if firstPage < 0 {
			firstPage = page.Number
		}
		found, err := c.recordOnPages(ctx, firstPage, page, r)
		if err != nil || found {
			return err
		}
		next, _ := page.With(r)
		if c.writePage(ctx, next, version) {
			return nil
		}
	}

	return errAuditNotWritten
}

// recordOnPages reports whether an earlier try has written the record. It searches the
// pages from number first up to last, a page that has been read already.
func (c *Configuration) recordOnPages(ctx context.Context, first int, last change.Page, r change.Record) (bool, error) {
	for number := first; number < last.Number; number++ {
		page, _, err := c.readPage(ctx, number)
		if err != nil || page.Has(r) {
			return err == nil, err
		}
	}

	return last.Has(r), nil
}

// runAuditRetries tries to write the pending records every auditRetryInterval.
func (c *Configuration) runAuditRetries(ctx context.Context) {
	ticks := c.Timer.Subscribe(ctx, auditRetryInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			c.writePendingRecords(ctx)
		}
	}
}

// writePendingRecords writes the pending records, oldest first, until a write fails.
func (c *Configuration) writePendingRecords(ctx context.Context) {
	for {
		c.mu.Lock()
		if len(c.pendingRecords) == 0 {
			c.mu.Unlock()

			return
		}
		r := c.pendingRecords[0]
		c.mu.Unlock()
		if c.appendRecord(ctx, r) != nil {
			return
		}
		c.mu.Lock()
		c.pendingRecords = slices.DeleteFunc(c.pendingRecords, r.SameResult)
		c.mu.Unlock()
	}
}

// History returns at most limit audit records, newest first. It includes records that
// are not in the audit trail yet: those of the root in force and the pending ones. An
// error means that a page could not be read.
func (c *Configuration) History(ctx context.Context, limit int) ([]change.Record, error) {
	page, _, err := c.readLastPage(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	records := slices.Concat(page.Missing(c.root), c.pendingRecords)
	c.mu.Unlock()
	slices.Reverse(records)
	for {
		for _, r := range slices.Backward(page.Records) {
			records = append(records, r)
		}
		if len(records) >= limit || page.Number == 0 {
			break
		}
		if page, _, err = c.readPage(ctx, page.Number-1); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(records, func(a, b change.Record) int { return b.Time.Compare(a.Time) })

	return records[:min(limit, len(records))], nil
}
