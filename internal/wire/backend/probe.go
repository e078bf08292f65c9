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
	// probeTimeout bounds a probe; a probe costs about 6 ms.
	probeTimeout = time.Second
	// maxReportBytes bounds a load report.
	maxReportBytes = 4 << 10
)

// LoadReport is a backend server's report.
type LoadReport struct {
	InFlight int  `json:"in-flight"`
	Slots    int  `json:"slots"`
	Leaving  bool `json:"leaving"`
}

// Probe asks for the health and then the load report of a backend server.
// Healthy is false when the server does not answer with status 200; a server
// without a readable report is healthy, and err says why there is none.
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
		return LoadReport{}, true, fmt.Errorf("read load report: %w", err)
	}

	return load, true, nil
}

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
