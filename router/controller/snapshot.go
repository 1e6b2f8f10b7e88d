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

// DefaultSnapshotInterval is the default mean time between two snapshots of a stream, whichever routers of the fleet
// write them.
const DefaultSnapshotInterval = 10 * time.Minute

// ConfigurationSnapshotWriter appends snapshots of the configuration to the log, so that the log may drop old change
// tickets. Every router writes snapshots; readers use the snapshot that reaches furthest in the configuration stream.
type ConfigurationSnapshotWriter struct {
	board    *blackboard.Board
	stream   platform.Log
	client   *ledgerstream.Client
	interval time.Duration
}

// NewConfigurationSnapshotWriter returns a writer of snapshots. The interval is the mean time between two snapshots of
// the whole fleet; zero stands for DefaultSnapshotInterval.
func NewConfigurationSnapshotWriter(board *blackboard.Board, stream platform.Log, client *ledgerstream.Client, interval time.Duration) *ConfigurationSnapshotWriter {
	if interval == 0 {
		interval = DefaultSnapshotInterval
	}
	return &ConfigurationSnapshotWriter{board: board, stream: stream, client: client, interval: interval}
}

// Run writes snapshots until ctx ends. The delays are jittered, so that routers that were started at the same time don't
// write at the same time. Its error is always nil.
func (s *ConfigurationSnapshotWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.nextDelay()):
		}
		s.write(ctx)
	}
}

// nextDelay returns the jittered delay until this router's next snapshot.
func (s *ConfigurationSnapshotWriter) nextDelay() time.Duration {
	fraction := rand.Float64() //nolint:gosec // jitter needs no secrecy
	return decision.SnapshotWait(s.interval, s.client.Status().Routers, fraction)
}

// write appends a snapshot of the configuration. It does so even if the configuration has not changed, because the log may
// be about to drop the newest snapshot.
func (s *ConfigurationSnapshotWriter) write(ctx context.Context) {
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

// append appends one chunk of a snapshot and reports whether the log acknowledged it.
func (s *ConfigurationSnapshotWriter) append(ctx context.Context, chunk []byte) bool {
	bounded, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	_, err := s.stream.Append(bounded, platform.ConfigurationSnapshotStream, chunk)
	return err == nil
}
