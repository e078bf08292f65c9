package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/wire/http1"
)

// streamedBytes is the length of a response that is far longer than the socket buffers.
const streamedBytes = 48 << 20

// startLongServer starts a server that answers one request with streamedBytes. It closes
// written once it has written them.
func startLongServer(t *testing.T) (address string, written chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	written = make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), streamedBytes)
		if _, bodyErr := c.Write(make([]byte, streamedBytes)); err == nil && bodyErr == nil {
			close(written)
		}
	}()

	return l.Addr().String(), written
}

// doLong sends a request to a long server and returns the result, whose Rest is not read.
func doLong(ctx context.Context, t *testing.T, p *http1.Pool, address string) http1.Result {
	t.Helper()
	result := p.Do(ctx, http1.Target{Instance: "i", Address: address}, request("1"))
	require.NoError(t, result.Err)
	require.NotNil(t, result.Response.Rest)
	t.Cleanup(result.Release)

	return result
}

// requireWhole reads the rest of a long response.
func requireWhole(t *testing.T, result http1.Result) {
	t.Helper()
	n, err := io.Copy(io.Discard, result.Response.Rest)
	require.NoError(t, err)
	require.Equal(t, streamedBytes, int(n)+len(result.Response.Body))
}

// Guards against a server that cuts off a response because its caller reads it late, although
// there is memory for it.
func TestLongResponseIsReadAhead(t *testing.T) {
	t.Parallel()
	address, written := startLongServer(t)
	result := doLong(t.Context(), t, http1.NewPool(testNames, 3*streamedBytes), address)
	select {
	case <-written:
	case <-time.After(testWait):
		require.Fail(t, "the server still waits for a reader")
	}
	requireWhole(t, result)
}

// Guards against memory for the rest of responses that is not given back.
func TestMemoryOfReadAheadIsGivenBack(t *testing.T) {
	t.Parallel()
	const whole = 256 << 10
	p := http1.NewPool(testNames, 2*(whole+1))
	results := make([]http1.Result, 8)
	for i := range results {
		address, _ := startLongServer(t)
		results[i] = doLong(t.Context(), t, p, address)
	}
	requireWhole(t, results[0])
	for _, r := range results {
		r.Release()
	}
	// Two responses together need all the memory.
	for _, id := range []string{"1", "2"} {
		body := make([]byte, whole)
		address, _ := startScriptedServer(t, []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %%s\r\nContent-Length: %d\r\n\r\n%s", whole, body)})
		result := do(t, p, address, id)
		require.NoError(t, result.Err)
		require.Nil(t, result.Response.Rest)
	}
}

// Guards against a response that is cut off at the deadline because its caller reads slowly.
func TestLongResponseOutlivesTheDeadline(t *testing.T) {
	t.Parallel()
	address, _ := startLongServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	result := doLong(ctx, t, http1.NewPool(testNames, testResponseMemory), address)
	<-ctx.Done()
	requireWhole(t, result)
}

// Guards against a response that is read although nobody wants it any more.
func TestCanceledResponseIsNotReadOn(t *testing.T) {
	t.Parallel()
	address, _ := startLongServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), testWait)
	result := doLong(ctx, t, http1.NewPool(testNames, testResponseMemory), address)
	cancel()
	_, err := io.Copy(io.Discard, result.Response.Rest)
	require.Error(t, err)
}
