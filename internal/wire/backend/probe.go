package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// probeTimeout bounds both requests of a probe together; a probe takes about
	// 6 ms.
	probeTimeout = time.Second
	// maxReportBytes is how many bytes of a response body are read at most.
	maxReportBytes = 4 << 10
)

// LoadReport is a backend server's report of its own load.
type LoadReport struct {
	// InFlight is the number of requests that the server runs.
	InFlight int `json:"in-flight"`
	// Slots is the number of requests that the server can run at the same time.
	Slots int `json:"slots"`
	// Leaving is true when the server is being shut down.
	Leaving bool `json:"leaving"`
}

// Probe requests /health and then /load from the backend server at address
// ("host:port"). healthy is false when /health is not answered with status 200.
// When only the load report is missing or not valid JSON, healthy is true, load
// is zero and err says why. A probe takes 1 s at most.
func (t *Transport) Probe(ctx context.Context, address string) (load LoadReport, healthy bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := t.get(ctx, address, "/health"); err != nil {
		return LoadReport{}, false, err
	}
	content, err := t.get(ctx, address, "/load")
	if err != nil {
		return LoadReport{}, true, err
	}
	if err := json.Unmarshal(content, &load); err != nil {
		return LoadReport{}, true, fmt.Errorf("decode load report of backend server: %w", err)
	}

	return load, true, nil
}

// get requests path from a backend server and returns at most maxReportBytes of the
// body. Any status other than 200 is an error.
func (t *Transport) get(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("probe backend server: %w", err)
	}
	resp, err := t.http.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("probe backend server: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return nil, fmt.Errorf("probe backend server: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("probe backend server: status %d", resp.StatusCode)
	}

	return content, nil
}
