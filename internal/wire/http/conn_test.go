package http_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	wirehttp "github.com/greengagetally/greengagetally/internal/wire/http"
)

// scriptedConn is a connection whose reads and writes a test decides.
type scriptedConn struct {
	net.Conn

	read, write func(p []byte) (int, error)
}

func (c scriptedConn) Read(p []byte) (int, error) { return c.read(p) }

func (c scriptedConn) Write(p []byte) (int, error) { return c.write(p) }

// Guards against a reset of which only the writer learns. The reader, which sees an orderly
// end while the write is in progress, must wait for it.
func TestEndWaitsForTheWriter(t *testing.T) {
	t.Parallel()
	errReset := errors.New("reset")
	for _, writeErr := range []error{nil, errReset} {
		writing, ended, atEnd := make(chan struct{}), make(chan struct{}), false
		c := wirehttp.NewConn(scriptedConn{
			read: func(p []byte) (int, error) {
				if atEnd {
					close(ended)

					return 0, io.EOF
				}
				atEnd = true

				return copy(p, "HTTP/1.1 200 OK\r\n\r\npart"), nil
			},
			write: func(p []byte) (int, error) {
				close(writing)
				<-ended

				return len(p), writeErr
			},
		})
		c.BeginExchange()
		go func() {
			_, err := c.Write([]byte("request"))
			c.RequestWritten(err)
		}()
		<-writing
		got, err := io.ReadAll(c)
		require.Equal(t, "HTTP/1.1 200 OK\r\n\r\npart", string(got))
		require.ErrorIs(t, err, writeErr)
	}
}
