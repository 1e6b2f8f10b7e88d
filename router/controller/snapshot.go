package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// SnapshotInterval is the default mean time between two snapshots of one router.
const SnapshotInterval = 10 * time.Minute

// ConfigurationSnapshots writes snapshots of the configuration, so that the log may drop old tickets.
// Any router may write one; the readers take the one that covers the most.
type ConfigurationSnapshots struct {
	board    *blackboard.Board
	stream   platform.Log
	interval time.Duration
}

// NewConfigurationSnapshots returns a writer with the given mean interval; zero takes SnapshotInterval.
func NewConfigurationSnapshots(board *blackboard.Board, stream platform.Log, interval time.Duration) *ConfigurationSnapshots {
	if interval == 0 {
		interval = SnapshotInterval
	}
	return &ConfigurationSnapshots{board: board, stream: stream, interval: interval}
}

// Run writes snapshots until ctx ends. The intervals are jittered, so that the routers of a fleet that
// started together don't write together.
func (s *ConfigurationSnapshots) Run(ctx context.Context) error {
	for {
		half := s.interval / 2
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(half + rand.N(s.interval)): //nolint:gosec // jitter needs no secrecy
		}
		s.write(ctx)
	}
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
	bounded, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_, err := s.stream.Append(bounded, platform.ConfigurationSnapshotStream, chunk)
	return err == nil
}
