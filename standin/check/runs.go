package check

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dragonflyworks/dragonflyworks/standin/runs"
)

// maxRunsBytes is the maximum number of bytes read from the answer with the run counts of one endpoint.
const maxRunsBytes = 256 << 20

// ReadRuns queries the run counters of endpoints and returns the total number of started runs by idempotency key.
func ReadRuns(ctx context.Context, client *http.Client, endpoints []string) (map[string]int, error) {
	started := make(map[string]int)
	for _, endpoint := range endpoints {
		counted, err := readEndpointRuns(ctx, client, endpoint)
		if err != nil {
			return nil, fmt.Errorf("read runs of %s: %w", endpoint, err)
		}
		for _, run := range counted {
			started[run.Key] += run.Started
		}
	}
	return started, nil
}

func readEndpointRuns(ctx context.Context, client *http.Client, endpoint string) ([]runs.Run, error) {
	path := strings.TrimSuffix(endpoint, "/") + "/control/runs"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	body := struct{ Runs []runs.Run }{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRunsBytes)).Decode(&body); err != nil {
		return nil, err
	}
	return body.Runs, nil
}
