package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagetally/greengagetally/internal/clock/timer"
	"github.com/greengagetally/greengagetally/internal/run/direct"
	"github.com/greengagetally/greengagetally/internal/run/metrics"
	steer "github.com/greengagetally/greengagetally/internal/steer/direct"
)

// benchEntryVM is an entry VM with a connection of a caller.
type benchEntryVM struct {
	conn    net.Conn
	reader  *bufio.Reader
	request string
	// used is the processor time of its requests, with that of the caller and of the server.
	used time.Duration
}

// serveFixed accepts connections on which every request gets the same response.
func serveFixed(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			for reader := bufio.NewReader(conn); ; {
				line, err := reader.ReadString('\n')
				if err != nil {
					return
				}
				if line == "\r\n" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 2\r\n\r\nok")
				}
			}
		}()
	}
}

// startBenchEntryVM runs an entry VM whose caller sends requests with the given header lines.
func startBenchEntryVM(b *testing.B, ip string, d *deployment, headers string) *benchEntryVM {
	b.Helper()
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(b, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	p, err := direct.New(ctx, direct.Settings{
		Steering: steer.Settings{Name: ip, Zone: "z1", Region: "r", RetryRatio: 0.2, RetryAllowance: 20, RetryWindow: 10 * time.Second, MaxShift: 0.15},
		Requests: address, Reports: reportsPort, Tables: reportsPort + 1, TableMaxAge: 200 * time.Millisecond,
		ConfigurationTime: 3 * time.Second, RevocationTime: 5 * time.Second, MaxBufferedBodyBytes: 1 << 20, MaxBufferedResponseBytes: 4 << 20,
	}, &view{deployment: d}, timer.NewSystem(), zap.NewNop(), metrics.New())
	require.NoError(b, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx, l)
	}()
	require.Eventually(b, p.Ready, waitTimeout, time.Millisecond)
	conn, err := net.Dial("tcp", address.String())
	require.NoError(b, err)
	b.Cleanup(func() {
		_ = conn.Close()
		cancel()
		<-done
	})

	return &benchEntryVM{conn: conn, reader: bufio.NewReader(conn), request: "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 7\r\nDeadline-Ms: 5000\r\nCookie: object=1\r\n" + headers + "\r\n"}
}

// send sends a number of requests, one after the other.
func (e *benchEntryVM) send(b *testing.B, count int) {
	b.Helper()
	before := processorTime(b)
	for range count {
		_, err := io.WriteString(e.conn, e.request)
		require.NoError(b, err)
		status, err := e.reader.ReadString('\n')
		require.NoError(b, err)
		require.Equal(b, "HTTP/1.1 200 OK\r\n", status)
		for line := status; line != "\r\n"; {
			line, err = e.reader.ReadString('\n')
			require.NoError(b, err)
		}
		_, err = e.reader.Discard(len("ok"))
		require.NoError(b, err)
	}
	e.used += processorTime(b) - before
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkKeys compares the processor time of requests with a key to that of the same
// requests without customers. Each iteration sends a batch of both, so that a change of the
// machine's speed falls on both.
func BenchmarkKeys(b *testing.B) {
	const batch, customers = 100, 80
	l, err := net.Listen("tcp", "127.0.0.47:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	go serveFixed(l)
	servers := []steer.Server{{ID: "server", Address: l.Addr().String(), Service: "s", Zone: "z1", Region: "r", Slots: 100}}
	withCustomers := newDeployment(servers...)
	withCustomers.customerKeys = map[string]string{}
	key := strings.Repeat("k", 18)
	for i := range customers {
		withCustomers.customerKeys[fmt.Sprint(key, i+10)] = fmt.Sprint("customer-", i)
	}
	header := "Authorization: Bearer " + key + "42\r\n"
	keyed := startBenchEntryVM(b, "127.0.0.48", withCustomers, header)
	plain := startBenchEntryVM(b, "127.0.0.49", newDeployment(servers...), header)
	requests := 0
	for b.Loop() {
		for _, e := range []*benchEntryVM{keyed, plain} {
			e.send(b, batch)
		}
		requests += batch
	}
	b.ReportMetric(float64(keyed.used.Microseconds())/float64(requests), "keyed-us/request")
	b.ReportMetric(float64(plain.used.Microseconds())/float64(requests), "plain-us/request")
	b.ReportMetric(keyed.used.Seconds()/plain.used.Seconds(), "keyed/plain")
}
