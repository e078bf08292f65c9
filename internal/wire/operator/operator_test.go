package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagetally/greengagetally/internal/api/operatorapi"
	"github.com/greengagetally/greengagetally/internal/config/change"
	"github.com/greengagetally/greengagetally/internal/run/configuration"
)

// Guards against accepting a token file with a wrong line, against accepting an unknown
// or shortened token, and against error messages that contain a token.
func TestTokenFile(t *testing.T) {
	t.Parallel()
	tokens, err := ParseTokens([]byte("# operators\n\nana:0123456789abcdef\nbruno:a:b:c:d:e:f:g:h:i\n"))
	require.NoError(t, err)
	name, ok := tokens.nameOf("0123456789abcdef")
	require.True(t, ok)
	require.Equal(t, "ana", name)
	name, _ = tokens.nameOf("a:b:c:d:e:f:g:h:i")
	require.Equal(t, "bruno", name)
	for _, wrong := range []string{"", "0123456789abcdef0", "0123456789abcde", "ana:0123456789abcdef"} {
		_, ok = tokens.nameOf(wrong)
		require.False(t, ok, wrong)
	}
	for _, file := range []string{"", "# none\n", "ana", "ana:secret", ":0123456789abcdef", "ana:0123456789abcdef\nana:secret-secret-secret"} {
		_, err = ParseTokens([]byte(file))
		require.Error(t, err, file)
		require.NotContains(t, err.Error(), "secret")
	}
}

// changeRecorder records changes; the outcome of each is unknown.
type changeRecorder struct {
	Configuration

	applied []change.Change
}

func (r *changeRecorder) Apply(_ context.Context, c change.Change) (configuration.Outcome, error) {
	r.applied = append(r.applied, c)

	return configuration.Outcome{Result: change.Unknown, Detail: "the store does not answer"}, nil
}

// stubEntry returns an empty status and ignores all other calls.
type stubEntry struct{}

func (stubEntry) Status() operatorapi.Status          { return operatorapi.Status{} }
func (stubEntry) AskVersions(context.Context, uint64) {}
func (stubEntry) Drain()                              {}

// Guards against an author that is taken from the body. Also guards against requests
// that reach the configuration although they have no known token, or a body that is
// wrong or too large.
func TestApplyChange(t *testing.T) {
	t.Parallel()
	tokens, err := ParseTokens([]byte("ana:0123456789abcdef"))
	require.NoError(t, err)
	config := &changeRecorder{}
	server, err := New(config, stubEntry{}, tokens)
	require.NoError(t, err)
	post := func(token, body string) *httptest.ResponseRecorder {
		req := httptest.NewRequest(http.MethodPost, "/v1/config/changes", strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if token != "" {
			req.Header.Set("Authorization", "Bearer "+token)
		}
		w := httptest.NewRecorder()
		server.ServeHTTP(w, req)

		return w
	}
	body := `{"base-version":1,"author":"eve","message":"m","nonce":"0123456789abcdef","files":[],"removed":[]}`

	require.Equal(t, http.StatusUnauthorized, post("", body).Code)
	require.Equal(t, http.StatusUnauthorized, post("0123456789abcdeX", body).Code)
	malformedResponse := post("0123456789abcdef", `{"base-version":1}`)
	require.Equal(t, http.StatusBadRequest, malformedResponse.Code)
	require.Contains(t, malformedResponse.Body.String(), `"message":`)
	tooLargeResponse := post("0123456789abcdef", strings.Repeat(" ", MaxBodyBytes+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, tooLargeResponse.Code)
	require.Empty(t, config.applied)

	unknownResponse := post("0123456789abcdef", body)
	require.Equal(t, http.StatusGatewayTimeout, unknownResponse.Code)
	require.JSONEq(t, `{"message":"the store does not answer"}`, unknownResponse.Body.String())
	require.Equal(t, "ana", config.applied[0].Author)
}
