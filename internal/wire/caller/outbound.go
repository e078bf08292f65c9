package caller

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/greengagetally/greengagetally/internal/steer/event"
)

// backendTarget returns a backend server as a target. It is called while the reducer
// is locked, right after the reducer chose the server.
func (x *exchange) backendTarget(name string) target {
	to := target{backend: name, region: x.self.Region}
	if b, ok := x.reducer.Config().Backends[name]; ok {
		to.address = b.Address.String()
	}

	return to
}

// entryTarget returns the entry VM of the effect as a target.
func (x *exchange) entryTarget(e event.CarryToEntry) target {
	to := target{entry: e.Entry, region: e.Region, toEntry: true}
	for _, view := range x.reducer.Members().Entries {
		if view.Member == e.Entry {
			to.address = view.CarryAddress
		}
	}

	return to
}

// attemptRequest returns the request that an attempt sends.
func (x *exchange) attemptRequest(a *attempt) *http.Request {
	r := x.r
	scheme := "http"
	if a.target.toEntry {
		scheme = x.carryScheme
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: scheme, Host: a.target.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery},
		Host:          r.Host,
		Header:        r.Header.Clone(),
		ContentLength: x.body.length,
		Body:          x.body.open(),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Trailer) > 0 {
		// Trailers can only follow a body of unannounced length.
		out.Trailer = r.Trailer
		out.ContentLength = -1
		if x.body.replayable() {
			out.Trailer = r.Trailer.Clone()
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// Keeps the HTTP client from adding its own User-Agent.
		out.Header["User-Agent"] = nil
	}
	remaining := max((a.deadline - x.reducer.Now()).Milliseconds(), 1)
	out.Header[headerTimeout] = []string{strconv.FormatInt(remaining, 10)}
	if a.target.toEntry {
		out.Header[headerService] = []string{x.service.Name}
		out.Header[headerCallerRegion] = []string{x.callerRegion}
		out.Header.Set(headerVM, a.target.entry.VM)
		if a.target.region != x.self.Region {
			out.Body = x.paceBody(a, out.Body)
		}
	}

	return out.WithContext(a.ctx)
}

// sanitizeRequest removes the headers and trailers of the caller's request that must
// not be passed on.
func sanitizeRequest(r *http.Request) {
	te := r.Header["Te"]
	stripHopHeaders(r.Header)
	stripSystemHeaders(r.Header)
	stripSystemHeaders(r.Trailer)
	for _, value := range te {
		if strings.EqualFold(strings.TrimSpace(value), "trailers") {
			r.Header["Te"] = []string{"trailers"}
		}
	}
}
