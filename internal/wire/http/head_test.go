package http_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

// heads are heads of responses with what the scanner says of them.
var heads = map[string]error{
	"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n": nil,
	"HTTP/1.1 200 OK\nX-A: b\nContent-Length: 2\n\n":         nil,
	"HTTP/1.1 200 OK\r\n\r\n":                                nil,
	"HTTP/1.1 200 OK\r\nX-A:\r\n\r\n":                        nil,
	"HTTP/1.1 200\r\n\r\n":                                   nil,
	"HTTP/1.1 000 None\r\n\r\n":                              wirehttp.ErrStatusLine,
	"HTTP/1.1 099 None\r\n\r\n":                              wirehttp.ErrStatusLine,
	"HTTP/1.1 +20 OK\r\n\r\n":                                wirehttp.ErrStatusLine,
	"HTTP/1.1 20\r\n\r\n":                                    wirehttp.ErrStatusLine,
	"HTTP/1.1  200 OK\r\n\r\n":                               wirehttp.ErrStatusLine,
	"HTTP/3.0 200 OK\r\n\r\n":                                wirehttp.ErrStatusLine,
	"\r\n\r\n\r\n":                                           wirehttp.ErrStatusLine,
	"HTTP/1.1 200 OK\r\nX A: b\r\n\r\n":                      wirehttp.ErrFieldName,
	"HTTP/1.1 200 OK\r\nX-A : b\r\n\r\n":                     wirehttp.ErrFieldName,
	"HTTP/1.1 200 OK\r\nX-A\r\n\r\n":                         wirehttp.ErrFieldName,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                         wirehttp.ErrFieldName,
	"HTTP/1.1 200 OK\r\nX-A: b\r\n\rX-C: d\r\n\r\n":          wirehttp.ErrFieldName,
	"HTTP/1.1 200 OK\r\nX-\x80A: b\r\n\r\n":                  wirehttp.ErrFieldName,
	"HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n":  wirehttp.ErrFraming,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":  nil,
	"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n": nil,
	"HTTP/1.0 200 OK\r\nTransfer: chunked\r\n\r\n":           nil,
	"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\n":                wirehttp.ErrFoldedLine,
	"HTTP/1.1 200 OK\r\nX-A: b\r\n\tX-C: d\r\n\r\n":          wirehttp.ErrFoldedLine,
}

// requestHeads are heads of requests with what the scanner says of them.
var requestHeads = map[string]error{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n":                                nil,
	"GET / HTTP/1.1\nHost: a\n\n":                                      nil,
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n": nil,
	"POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 5\r\n\r\n":          nil,
	"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n": wirehttp.ErrFraming,
	"POST / HTTP/1.0\nHost: a\ntransfer-encoding: chunked\n\n":         wirehttp.ErrFraming,
	"POST / HTTP/0.9\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n": wirehttp.ErrFraming,
	"POST /HTTP/1.0 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":    nil,
	"POST / HTTP/1.1\r\nContent-Length : 5\r\n\r\n":                    wirehttp.ErrFieldName,
	"POST / HTTP/1.1\r\nContent-Length\t: 5\r\n\r\n":                   wirehttp.ErrFieldName,
	"POST / HTTP/1.1\r\nX Y: 5\r\n\r\n":                                wirehttp.ErrFieldName,
	"POST / HTTP/1.1\r\n: 5\r\n\r\n":                                   wirehttp.ErrFieldName,
	"POST / HTTP/1.1\r\nHost: a\r\n Content-Length: 5\r\n\r\n":         wirehttp.ErrFoldedLine,
	"POST / HTTP/1.1\r\n Content-Length: 5\r\n\r\n":                    wirehttp.ErrFoldedLine,
}

// Guards against a broken head that passes because it comes in pieces.
func TestHeadInPieces(t *testing.T) {
	t.Parallel()
	t.Run("responses", func(t *testing.T) {
		t.Parallel()
		scanInPieces(t, heads, func() wirehttp.HeadScanner { return wirehttp.HeadScanner{} })
	})
	t.Run("requests", func(t *testing.T) {
		t.Parallel()
		scanInPieces(t, requestHeads, wirehttp.NewRequestScanner)
	})
}

func scanInPieces(t *testing.T, heads map[string]error, newScanner func() wirehttp.HeadScanner) {
	t.Helper()
	for head, want := range heads {
		for cut := range len(head) {
			s := newScanner()
			n, err := s.Scan([]byte(head[:cut]))
			if err == nil {
				require.Equal(t, cut, n)
				require.False(t, s.Ended(), "%q after %d", head, cut)
				_, err = s.Scan([]byte(head[cut:]))
			}
			require.ErrorIs(t, err, want, "%q cut after %d", head, cut)
			require.Equal(t, want == nil, s.Ended(), "%q", head)
		}
	}
}

// FuzzHeadEndsWhereNetHTTPEndsIt guards against a head whose end the scanner sees elsewhere
// than net/http, so that a part of it is not checked, and against names that pass.
func FuzzHeadEndsWhereNetHTTPEndsIt(f *testing.F) {
	for head := range heads {
		f.Add(head + "body")
	}
	f.Fuzz(func(t *testing.T, text string) {
		var s wirehttp.HeadScanner
		n, err := s.Scan([]byte(text))
		in := bufio.NewReader(strings.NewReader(text))
		resp, parseErr := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
		if err != nil || parseErr != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		require.True(t, s.Ended())
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Equal(t, text[n:], string(rest))
		for name := range resp.Header {
			require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
	})
}

// FuzzRequestHeadEndsWhereNetHTTPEndsIt is FuzzHeadEndsWhereNetHTTPEndsIt for requests.
func FuzzRequestHeadEndsWhereNetHTTPEndsIt(f *testing.F) {
	for head := range requestHeads {
		f.Add(head + "body")
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := wirehttp.NewRequestScanner()
		n, err := s.Scan([]byte(text))
		in := bufio.NewReader(strings.NewReader(text))
		r, parseErr := http.ReadRequest(in)
		if err != nil || parseErr != nil {
			return
		}
		defer func() { _ = r.Body.Close() }()
		require.True(t, s.Ended())
		rest, err := io.ReadAll(in)
		require.NoError(t, err)
		require.Equal(t, text[n:], string(rest))
		for name := range r.Header {
			require.True(t, httpguts.ValidHeaderFieldName(name), "%q", name)
		}
	})
}
