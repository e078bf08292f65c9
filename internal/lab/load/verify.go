package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"
)

// Violations lists requests that violate an invariant.
type Violations struct {
	// RanTwice are idempotency keys whose requests ran more than once.
	RanTwice []string
	// RanDespiteNotRun are the ids of attempts that ran although the outcome was
	// not-run.
	RanDespiteNotRun []string
}

// Verify asks the backend servers which requests of the result they ran, and returns the
// violations. The parameter controls lists their control addresses (host:port). It
// returns an error when one of the addresses does not answer.
func (r *Result) Verify(ctx context.Context, controls []string) (Violations, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	var found Violations
	keys, attempts := map[string]int{}, map[string]int{}
	for _, c := range controls {
		keyRuns, attemptRuns := map[string]int{}, map[string]int{}
		if err := CallControl(ctx, http.MethodPost, "http://"+c+"/lab/keys", r.keys, &keyRuns); err != nil {
			return found, err
		}
		if err := CallControl(ctx, http.MethodPost, "http://"+c+"/lab/attempts", r.notRunAttempts, &attemptRuns); err != nil {
			return found, err
		}
		for key, n := range keyRuns {
			keys[key] += n
		}
		maps.Copy(attempts, attemptRuns)
	}
	for key, n := range keys {
		if n > 1 {
			found.RanTwice = append(found.RanTwice, key)
		}
	}
	for attempt := range attempts {
		found.RanDespiteNotRun = append(found.RanDespiteNotRun, attempt)
	}

	return found, nil
}

// CallControl calls a control endpoint of the simulated platform or backend servers. It
// sends requestBody as JSON and decodes the response into responseBody, which may be nil.
// It returns an error when there is no response with status 200 within 5 s.
func CallControl(ctx context.Context, method, url string, requestBody, responseBody any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	data, err := json.Marshal(requestBody)
	if err != nil {
		return fmt.Errorf("encode control call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("control call: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("control call: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return fmt.Errorf("control call %s: status %d: %.200s: %w", url, res.StatusCode, body, err)
	}
	if responseBody == nil {
		return nil
	}
	if err := json.Unmarshal(body, responseBody); err != nil {
		return fmt.Errorf("decode control response: %w", err)
	}

	return nil
}
