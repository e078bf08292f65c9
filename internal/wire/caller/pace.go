package caller

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// maxChunkBytes is the greatest number of bytes that a pacer requests from the reducer at
// a time. It is less than the burst that a link allows: the bytes that the entry VM's
// share of the link lets through in 20 ms (burstTime in package steer/link). With a
// tenth of a 280 Mbit/s link as its share, a burst is about 70 kB.
const maxChunkBytes = 16 << 10

// pacer delays bytes to another region until the reducer has granted them. A nil pacer
// delays nothing.
type pacer struct {
	reducer Reducer
	link    model.LinkID
	class   model.Class
	service string
	// stream is the number from Reducer.OpenStream.
	stream uint64

	mu sync.Mutex
	// balance is the number of bytes granted minus the number of bytes spent. While the
	// balance is negative, wait waits for grants.
	balance int64
	// grantArrived holds an element when the balance may have grown.
	grantArrived chan struct{}
}

// newPacer returns a pacer for bytes to a region. It returns nil when the bytes are not
// limited: the region is that of this entry VM, the link has no limit, or region is ""
// because a carried request lacks the header headerCallerRegion.
func (x *exchange) newPacer(region string) *pacer {
	if region == x.self.Region || region == "" {
		return nil
	}
	id := model.LinkID{From: x.self.Region, To: region}
	if config := x.reducer.Config(); config == nil || config.Links[id].LimitBits == 0 {
		return nil
	}
	p := &pacer{reducer: x.reducer, link: id, class: x.class, service: x.service.Name, grantArrived: make(chan struct{}, 1)}
	p.stream = x.reducer.OpenStream(p)

	return p
}

// responsePacer returns the pacer for the response to a carried request. It returns nil
// for other requests and when newPacer returns nil.
func (x *exchange) responsePacer() *pacer {
	if !x.carried {
		return nil
	}

	return x.newPacer(x.callerRegion)
}

// Deliver implements Sink.
func (p *pacer) Deliver(effect event.Effect) {
	grant, ok := effect.(event.GrantLinkBytes)
	if !ok {
		return
	}
	p.mu.Lock()
	p.balance += grant.Bytes
	p.mu.Unlock()
	select {
	case p.grantArrived <- struct{}{}:
	default:
	}
}

// wait blocks until n bytes may be sent. It returns an error when ctx ends first.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	for n > 0 {
		chunk := int64(min(n, maxChunkBytes))
		if !p.spend(chunk) {
			p.reducer.Apply(event.LinkBytesRequested{
				At: event.At(p.reducer.Now()), Stream: p.stream, Link: p.link, Class: p.class, Service: p.service, Bytes: chunk,
			})
		}
		for !p.spend(0) {
			select {
			case <-p.grantArrived:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		n -= int(chunk)
	}

	return nil
}

// spend subtracts n bytes from the balance and returns whether the balance is not
// negative.
func (p *pacer) spend(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balance -= n

	return p.balance >= 0
}

// close tells the reducer that no more bytes follow.
func (p *pacer) close() {
	if p == nil {
		return
	}
	p.reducer.Apply(event.LinkStreamEnded{At: event.At(p.reducer.Now()), Stream: p.stream, Link: p.link})
	p.reducer.CloseStream(p.stream)
}

// paceHeader waits until the request's header may be sent to the target's region.
func (x *exchange) paceHeader(a *attempt) error {
	p := x.newPacer(a.target.region)
	defer p.close()

	return p.wait(a.ctx, estimateHeaderBytes(x.r))
}

// estimateHeaderBytes estimates the size on the wire of a request header, with each
// field as "name: value\r\n".
func estimateHeaderBytes(r *http.Request) int {
	n := len(r.Method) + len(r.URL.Path) + len(r.URL.RawQuery) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + 4
		}
	}

	return n
}

// paceBody returns the request body for an attempt in another region, paced when the
// link has a limit.
func (x *exchange) paceBody(a *attempt, body io.ReadCloser) io.ReadCloser {
	if body == http.NoBody {
		return body
	}
	p := x.newPacer(a.target.region)
	if p == nil {
		return body
	}

	return &pacedBody{ReadCloser: body, linkPacer: p, ctx: a.ctx}
}

// pacedBody is a request body whose Read returns bytes only when they may be sent.
type pacedBody struct {
	io.ReadCloser

	linkPacer *pacer
	ctx       context.Context
	closeOnce sync.Once
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxChunkBytes)])
	if n > 0 {
		if waitErr := b.linkPacer.wait(b.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}

	return n, err
}

func (b *pacedBody) Close() error {
	b.closeOnce.Do(b.linkPacer.close)

	return b.ReadCloser.Close()
}
