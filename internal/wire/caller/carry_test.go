package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/greengagetally/greengagetally/internal/wire/caller"
)

// carriedResponse is what an entry VM in trouble sends over HTTP/2.
type carriedResponse struct {
	fields []hpack.HeaderField
	body   string
	// unfinished leaves out the end of the stream, and closes the connection.
	unfinished bool
	// cut is how many bytes of the headers' frame are left out.
	cut int
}

// startCarryServer starts a server that sends one response on each connection.
func startCarryServer(t *testing.T, response carriedResponse) (address string) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err == nil {
					_ = response.send(c)
				}
			}()
		}
	}()

	return l.Addr().String()
}

// send waits for a request and answers it.
func (r carriedResponse) send(c net.Conn) error {
	framer := http2.NewFramer(c, c)
	if err := framer.WriteSettings(); err != nil {
		return err
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		request, ok := frame.(*http2.HeadersFrame)
		if !ok {
			continue
		}
		var block, out bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, f := range r.fields {
			_ = encoder.WriteField(f)
		}
		answer := http2.NewFramer(&out, nil)
		_ = answer.WriteHeaders(http2.HeadersFrameParam{StreamID: request.StreamID, BlockFragment: block.Bytes(), EndHeaders: true})
		if r.cut > 0 {
			_, err := c.Write(out.Bytes()[:out.Len()-r.cut])

			return err
		}
		_ = answer.WriteData(request.StreamID, !r.unfinished, []byte(r.body))
		if _, err := c.Write(out.Bytes()); err != nil || r.unfinished {
			return err
		}
		_, err = io.Copy(io.Discard, c)

		return err
	}
}

// carry sends a request to an entry VM and returns the status and body of the response. It
// fails if the response is not whole.
func carry(t *testing.T, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	carrier := caller.NewCarrier(nil)
	defer carrier.Close()
	resp, trip, err := carrier.Send(req, func() {}, cancel)
	require.True(t, trip.Sent())
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)

	return fmt.Sprintf("%d %q", resp.StatusCode, body), err
}

// Guards against a broken response of the entry VM that a request was carried to and that
// reaches the caller as an answer.
func TestBrokenCarriedResponsesAreRefused(t *testing.T) {
	t.Parallel()
	status := func(s string) hpack.HeaderField { return hpack.HeaderField{Name: ":status", Value: s} }
	field := func(name, value string) hpack.HeaderField { return hpack.HeaderField{Name: name, Value: value} }
	for name, response := range map[string]carriedResponse{
		"status 000":             {fields: []hpack.HeaderField{status("000")}, body: "ok"},
		"status 099":             {fields: []hpack.HeaderField{status("099")}, body: "ok"},
		"status with a sign":     {fields: []hpack.HeaderField{status("+200")}, body: "ok"},
		"status of four digits":  {fields: []hpack.HeaderField{status("2000")}, body: "ok"},
		"no status":              {fields: []hpack.HeaderField{field("x-a", "b")}, body: "ok"},
		"space in a name":        {fields: []hpack.HeaderField{status("200"), field("x a", "b")}, body: "ok"},
		"space after a name":     {fields: []hpack.HeaderField{status("200"), field("content-length ", "1")}, body: "ok"},
		"control byte in a name": {fields: []hpack.HeaderField{status("200"), field("x\x01a", "b")}, body: "ok"},
		"NUL in a value":         {fields: []hpack.HeaderField{status("200"), field("x-a", "b\x00")}, body: "ok"},
		"line feed in a value":   {fields: []hpack.HeaderField{status("200"), field("x-a", "b\nc")}, body: "ok"},
		"head that stops":        {fields: []hpack.HeaderField{status("200"), field("x-a", "b")}, cut: 3},
		"body that stops":        {fields: []hpack.HeaderField{status("200")}, body: "ok", unfinished: true},
		"shorter than its length": {
			fields: []hpack.HeaderField{status("200"), field("content-length", "3")}, body: "ok",
		},
		"longer than its length": {
			fields: []hpack.HeaderField{status("200"), field("content-length", "1")}, body: "ok",
		},
		"two lengths": {
			fields: []hpack.HeaderField{status("200"), field("content-length", "1"), field("content-length", "2")}, body: "ok",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, err := carry(t, startCarryServer(t, response))
			require.Error(t, err, got)
		})
	}
	got, err := carry(t, startCarryServer(t, carriedResponse{fields: []hpack.HeaderField{status("200")}, body: "ok"}))
	require.NoError(t, err)
	require.Equal(t, `200 "ok"`, got)
}
