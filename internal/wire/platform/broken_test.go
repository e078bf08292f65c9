package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/lab/broken"
)

// Guards against a broken response of the service that counts as an answer: a document or a
// list with a part of its content, or a write that may not have taken effect.
func TestBrokenResponsesAreRefused(t *testing.T) {
	t.Parallel()
	for name, response := range broken.Responses("Content-Type: application/json\r\n", `{"version":1,"value":"eA==","vms":[]}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, stop, err := broken.Start(broken.Always(response, broken.Close))
			require.NoError(t, err)
			t.Cleanup(stop)
			client := newClient(t, "http://"+address)
			_, err = client.Read(t.Context(), "a")
			require.ErrorIs(t, err, ErrUnavailable)
			_, err = client.Watch(t.Context(), "a", 1)
			require.ErrorIs(t, err, ErrUnavailable)
			_, _, err = client.VMs(t.Context(), 0)
			require.ErrorIs(t, err, ErrUnavailable)
			_, err = client.Write(t.Context(), "a", 1, nil)
			require.ErrorIs(t, err, ErrOutcomeUnknown)
			require.ErrorIs(t, client.Delete(t.Context(), "a", 1), ErrOutcomeUnknown)
		})
	}
}
