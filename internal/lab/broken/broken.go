// Package broken is a server in trouble, for tests of all that reads responses over HTTP/1.
package broken

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
)

// End is what a server does after a response.
type End int

// Ends of a response.
const (
	// Close closes the connection orderly.
	Close End = iota
	// Reset resets the connection.
	Reset
)

// receiveBuffer is the size in bytes of a connection's receive buffer. It is small, so that a
// long upload is still being written when the server ends the connection.
const receiveBuffer = 4 << 10

// Always returns a function for Start that responds to all requests alike.
func Always(response string, end End) func(*http.Request) (string, End) {
	return func(*http.Request) (string, End) { return response, end }
}

// Start starts a server on the loopback address. It reads the head of one request on each
// connection, writes the response and ends the connection.
func Start(respond func(r *http.Request) (response string, end End)) (address string, stop func(), err error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})

		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), respond) //nolint:forcetypeassert // A TCP listener accepts these.
		}
	}()

	return l.Addr().String(), func() { _ = l.Close() }, nil
}

func serve(c *net.TCPConn, respond func(r *http.Request) (string, End)) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	response, end := respond(r)
	_, _ = io.WriteString(c, response)
	if end == Reset {
		_ = c.SetLinger(0)
	}
}

// Responses returns broken responses by what is wrong with them. If they were not broken, they
// would have the status 200, the given fields and the body.
func Responses(fields, body string) map[string]string {
	start := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	end := length + "\r\n" + body
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)

	return map[string]string{
		"space in a name":                   start + "X A: b\r\n" + end,
		"space before a colon":              start + "X-A : b\r\n" + end,
		"space before the length's colon":   start + "Content-Length : 1\r\n\r\n" + body,
		"space before the encoding's colon": start + "Transfer-Encoding : chunked\r\n\r\n" + body,
		"space at the start of a line":      start + "X-A: b\r\n X-C: d\r\n" + end,
		"after an interim response":         "HTTP/1.1 100 Continue\r\n\r\n" + start + "X A: b\r\n" + end,
		"control byte in a name":            start + "X\x01A: b\r\n" + end,
		"DEL in a name":                     start + "X\x7fA: b\r\n" + end,
		"byte above 0x7f in a name":         start + "X\xe9A: b\r\n" + end,
		"bracket in a name":                 start + "X(A: b\r\n" + end,
		"no name":                           start + ": b\r\n" + end,
		"no colon":                          start + "X-A\r\n" + end,
		"NUL in a value":                    start + "X-A: b\x00\r\n" + end,
		"CR in a value":                     start + "X-A: b\rc\r\n" + end,
		"two lengths":                       start + "Content-Length: 1\r\n" + end,
		"encoding in HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + body,
		"status 000":                        "HTTP/1.1 000 None\r\n" + fields + end,
		"status 099":                        "HTTP/1.1 099 None\r\n" + fields + end,
		"status with a sign":                "HTTP/1.1 +20 OK\r\n" + fields + end,
		"head that stops":                   start + "Content-Len",
		"body that stops":                   start + "Content-Length: " + fmt.Sprint(len(body)+1) + "\r\n\r\n" + body,
		"chunks that stop":                  start + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
	}
}
