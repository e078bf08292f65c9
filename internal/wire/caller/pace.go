package caller

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/greengagetally/greengagetally/internal/config/model"
	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// paceChunk is the number of bytes asked for at a time; it is below the burst
// of 20 ms at a tenth of a 280 Mbit/s link.
const paceChunk = 16 << 10

// pacer asks the reducer before bytes are sent to another region. A nil pacer
// lets everything pass.
type pacer struct {
	steering Reducer
	link     model.LinkID
	class    model.Class
	service  string
	stream   uint64

	mu      sync.Mutex
	granted int64
	wake    chan struct{}
}

// newPacer returns a pacer to a region, or nil when the link has no limit.
func (x *exchange) newPacer(to string) *pacer {
	if to == x.self.Region || to == "" {
		return nil
	}
	id := model.LinkID{From: x.self.Region, To: to}
	if config := x.steering.Config(); config == nil || config.Links[id].LimitBits == 0 {
		return nil
	}
	p := &pacer{steering: x.steering, link: id, class: x.class, service: x.service.Name, wake: make(chan struct{}, 1)}
	p.stream = x.steering.OpenStream(p)

	return p
}

// responsePacer paces the response to a request that another region carried here.
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
	p.granted += grant.Bytes
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// wait returns when n bytes may be sent.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	for n > 0 {
		chunk := int64(min(n, paceChunk))
		if !p.take(chunk) {
			p.steering.Apply(event.LinkBytesRequested{
				At: event.At(p.steering.Now()), Stream: p.stream, Link: p.link, Class: p.class, Service: p.service, Bytes: chunk,
			})
		}
		for !p.take(0) {
			select {
			case <-p.wake:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		n -= int(chunk)
	}

	return nil
}

// take uses n granted bytes and returns whether no debt is left.
func (p *pacer) take(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted -= n

	return p.granted >= 0
}

func (p *pacer) close() {
	if p == nil {
		return
	}
	p.steering.Apply(event.LinkStreamEnded{At: event.At(p.steering.Now()), Stream: p.stream, Link: p.link})
	p.steering.CloseStream(p.stream)
}

// paceHeader waits until the request's header may be sent to another region.
func (x *exchange) paceHeader(a *attempt) error {
	p := x.newPacer(a.target.region)
	defer p.close()

	return p.wait(a.ctx, headerBytes(x.r))
}

// headerBytes estimates the size of a request header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.URL.Path) + len(r.URL.RawQuery) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + 4
		}
	}

	return n
}

// paceBody paces a request body that goes to another region.
func (x *exchange) paceBody(a *attempt, in io.ReadCloser) io.ReadCloser {
	if in == http.NoBody {
		return in
	}
	p := x.newPacer(a.target.region)
	if p == nil {
		return in
	}

	return &pacedBody{ReadCloser: in, pace: p, ctx: a.ctx}
}

type pacedBody struct {
	io.ReadCloser

	pace *pacer
	ctx  context.Context
	once sync.Once
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), paceChunk)])
	if n > 0 {
		if waitErr := b.pace.wait(b.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}

	return n, err
}

func (b *pacedBody) Close() error {
	b.once.Do(b.pace.close)

	return b.ReadCloser.Close()
}
