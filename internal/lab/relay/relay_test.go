package relay_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/relay"
)

// startEchoServer returns the address of a server that sends each line back.
func startEchoServer(t *testing.T) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						_ = c.Close()

						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()

	return listener.Addr().String()
}

// Guards against faults that the client does not notice. Tests that inject such faults
// would pass without having tested anything.
func TestFaults(t *testing.T) {
	t.Parallel()
	r, err := relay.New(t.Context(), "127.0.0.1:0", startEchoServer(t))
	require.NoError(t, err)
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	responses := bufio.NewReader(c)
	const shortTimeout, longTimeout = 300 * time.Millisecond, 20 * time.Second
	roundTrip := func(timeout time.Duration) error {
		_, _ = c.Write([]byte("x\n"))
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		_, err := responses.ReadString('\n')

		return err
	}
	require.NoError(t, roundTrip(longTimeout))

	r.Set(relay.Faults{Down: relay.DirectionFaults{Freeze: true}})
	require.Error(t, roundTrip(shortTimeout))
	r.Set(relay.Faults{})
	require.NoError(t, roundTrip(longTimeout), "frozen bytes are kept")
	_, _ = responses.ReadString('\n')

	r.Set(relay.Faults{Down: relay.DirectionFaults{Drop: true}})
	up, _ := r.ForwardedBytes()
	require.Error(t, roundTrip(shortTimeout))
	after, _ := r.ForwardedBytes()
	assert.Equal(t, up+2, after, "the request passes while the answer is dropped")

	r.Set(relay.Faults{Down: relay.DirectionFaults{DelayMs: 50}})
	start := time.Now()
	require.NoError(t, roundTrip(longTimeout))
	assert.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond)

	r.Set(relay.Faults{Cut: true})
	require.Error(t, roundTrip(shortTimeout))
}
