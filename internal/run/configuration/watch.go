package configuration

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/wire/platform"
)

// rootKey is the store key of the root.
const rootKey = "config/root"

// Shortest and longest pause between calls while the store does not answer; the
// pause doubles after each failure.
const (
	minStorePause = time.Second
	maxStorePause = 30 * time.Second
)

// watchSwitch says whether to watch the store's root.
type watchSwitch struct {
	mu sync.Mutex
	on bool
	// changed is closed and replaced whenever the value of on changes.
	changed chan struct{}
}

func (w *watchSwitch) set(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on == on {
		return
	}
	w.on = on
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watchSwitch) get() (on bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.on, w.changed
}

// runStartupRead reads the root from the store if no peer has sent one. It ends with
// the store's first answer, so a running entry VM makes no periodic calls.
func (c *Configuration) runStartupRead(ctx context.Context) {
	for wait := startupPeerWait; c.pause(ctx, wait) && c.Root().Version == 0; {
		err := c.adoptFromStore(ctx)
		if err == nil {
			return
		}
		c.Log.Warn("reading the configuration from the store failed", zap.Error(err))
		wait = min(max(minStorePause, 2*wait), maxStorePause)
	}
}

// runStoreWatch brings new versions of the store into force while the watch is on.
func (c *Configuration) runStoreWatch(ctx context.Context) {
	wait := minStorePause
	for ctx.Err() == nil {
		on, changed := c.storeWatch.get()
		if !on {
			select {
			case <-ctx.Done():
			case <-changed:
			}

			continue
		}
		if err := c.watchOnce(ctx, changed); err != nil {
			c.Log.Warn("watching the configuration in the store failed", zap.Error(err))
			c.pause(ctx, wait)
			wait = min(2*wait, maxStorePause)

			continue
		}
		wait = minStorePause
	}
}

// watchOnce waits for the store's next root and brings it into force. If the channel
// changed is closed or ctx ends first, it returns nil.
func (c *Configuration) watchOnce(ctx context.Context, changed <-chan struct{}) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	startedAt := c.Timer.Now()
	doc, err := c.Store.Watch(watchCtx, rootKey, c.newestDocumentVersion())
	if watchCtx.Err() != nil {
		return nil
	}
	if err != nil {
		return fmt.Errorf("watch %s: %w", rootKey, err)
	}
	if doc.Version <= c.newestDocumentVersion() && c.Timer.Now()-startedAt < minStorePause {
		// Without the pause, a store that answers watches at once would be called
		// in a tight loop.
		c.pause(watchCtx, minStorePause)
	}

	return c.adoptDocument(ctx, doc)
}

// adoptFromStore reads the root from the store and brings it into force if it is
// newer.
func (c *Configuration) adoptFromStore(ctx context.Context) error {
	doc, err := c.Store.Read(ctx, rootKey)
	if err != nil {
		return fmt.Errorf("read %s: %w", rootKey, err)
	}

	return c.adoptDocument(ctx, doc)
}

// adoptDocument brings the root of a document into force. A document that is not
// newer than the newest known one changes nothing: it is unchanged or a stale read.
func (c *Configuration) adoptDocument(ctx context.Context, doc platform.Document) error {
	if doc.Version <= c.newestDocumentVersion() {
		return nil
	}
	root, err := change.DecodeRoot(doc.Value)
	if err != nil {
		return err
	}
	if err := c.adopt(ctx, root, c.partsFromStore); err != nil {
		return err
	}
	c.noteDocumentVersion(doc.Version)

	return nil
}

// newestDocumentVersion returns the newest known version of the root document.
func (c *Configuration) newestDocumentVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.documentVersion
}

// noteDocumentVersion remembers a version of the root document if it is the newest.
func (c *Configuration) noteDocumentVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documentVersion = max(c.documentVersion, version)
}
