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

// Broken are requests for which an invariant does not hold.
type Broken struct {
	// RanTwice are keys that backend servers ran more than once.
	RanTwice []string
	// RanDespiteNotRun are attempts that ran although the caller was told "not run".
	RanDespiteNotRun []string
}

// Verify asks the backend servers behind the control addresses what they ran.
func (r *Result) Verify(ctx context.Context, controls []string) (Broken, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	var b Broken
	keys, attempts := map[string]int{}, map[string]int{}
	for _, c := range controls {
		more, ran := map[string]int{}, map[string]int{}
		if err := CallControl(ctx, http.MethodPost, "http://"+c+"/lab/keys", r.keys, &more); err != nil {
			return b, err
		}
		if err := CallControl(ctx, http.MethodPost, "http://"+c+"/lab/attempts", r.notRunAttempts, &ran); err != nil {
			return b, err
		}
		for key, n := range more {
			keys[key] += n
		}
		maps.Copy(attempts, ran)
	}
	for key, n := range keys {
		if n > 1 {
			b.RanTwice = append(b.RanTwice, key)
		}
	}
	for attempt := range attempts {
		b.RanDespiteNotRun = append(b.RanDespiteNotRun, attempt)
	}

	return b, nil
}

// CallControl calls a control endpoint of the laboratory and decodes its answer
// into out, which may be nil.
func CallControl(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	data, err := json.Marshal(in)
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
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode control answer: %w", err)
	}

	return nil
}
