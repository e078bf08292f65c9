package peer_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/keys"
	"github.com/greengagetally/greengagetally/internal/wire/peer"
	wiretls "github.com/greengagetally/greengagetally/internal/wire/tls"
)

// BenchmarkConnectionMemory measures the memory and the goroutines of one peer
// connection, both ends included.
func BenchmarkConnectionMemory(b *testing.B) {
	authority, err := keys.NewAuthority(b.TempDir())
	require.NoError(b, err)
	newCertReloader := func(vm string) *wiretls.CertReloader {
		cert, key, err := authority.Issue(vm)
		require.NoError(b, err)
		reloader, err := wiretls.NewCertReloader(wiretls.Files{Cert: cert, Key: key, CA: authority.CertFile})
		require.NoError(b, err)

		return reloader
	}
	address, _, _ := startServer(b, newCertReloader("entry-1"))
	clientTLSFiles := newCertReloader("entry-2")
	memoryBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
	clients := make([]*peer.Client, 0, b.N)
	for range b.N {
		c := peer.NewClient(clientTLSFiles, newCounter(), func() time.Duration { return 0 })
		clients = append(clients, c)
		_, err := c.Send(context.Background(), address, "entry-1", envelope("entry-2"))
		require.NoError(b, err)
	}
	b.ReportMetric(float64(memoryInUse()-memoryBefore)/float64(b.N)/1024, "KB/connection")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutinesBefore)/float64(b.N), "goroutines/connection")
	for _, c := range clients {
		c.Close()
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapInuse + m.StackInuse
}
