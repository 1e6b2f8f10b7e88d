package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream/decision"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// SnapshotInterval is the default mean time between two snapshots of the whole fleet.
const SnapshotInterval = 10 * time.Minute

// ConfigurationSnapshots writes snapshots of the configuration, so that the log may drop old tickets.
// Any router may write one; the readers take the one that covers the most.
type ConfigurationSnapshots struct {
	board    *blackboard.Board
	stream   platform.Log
	client   *ledgerstream.Client
	interval time.Duration
}

// NewConfigurationSnapshots returns a writer with the given mean interval of the fleet; zero takes SnapshotInterval.
func NewConfigurationSnapshots(board *blackboard.Board, stream platform.Log, client *ledgerstream.Client, interval time.Duration) *ConfigurationSnapshots {
	if interval == 0 {
		interval = SnapshotInterval
	}
	return &ConfigurationSnapshots{board: board, stream: stream, client: client, interval: interval}
}

// Run writes snapshots until ctx ends. The intervals are jittered, so that the routers of a fleet that
// started together don't write together.
func (s *ConfigurationSnapshots) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.nextDelay()):
		}
		s.write(ctx)
	}
}

func (s *ConfigurationSnapshots) nextDelay() time.Duration {
	fraction := rand.Float64() //nolint:gosec // jitter needs no secrecy
	return decision.SnapshotWait(s.interval, s.client.Status().Routers, fraction)
}

// write appends a snapshot even if nothing has changed: the log may be about to drop the newest one.
func (s *ConfigurationSnapshots) write(ctx context.Context) {
	configuration := s.board.Configuration.Load()
	if configuration == nil {
		return
	}
	chunks, err := configuration.EncodeSnapshotChunks(operator.DefaultChunkBytes)
	if err != nil {
		s.board.Count(configurationSnapshotFailed)
		return
	}
	for _, chunk := range chunks {
		if !s.append(ctx, chunk) {
			s.board.Count(configurationSnapshotFailed)
			return
		}
	}
	s.board.Count(configurationSnapshotWritten)
}

func (s *ConfigurationSnapshots) append(ctx context.Context, chunk []byte) bool {
	bounded, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	_, err := s.stream.Append(bounded, platform.ConfigurationSnapshotStream, chunk)
	return err == nil
}
