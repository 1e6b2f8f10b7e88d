// Package controller holds the loops that keep the blackboard up to date from the platform.
package controller

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

const (
	// configurationPollInterval is the time between two reads of the configuration stream at its end.
	configurationPollInterval = 250 * time.Millisecond
	// configurationReadLimit bounds the entries of one read.
	configurationReadLimit = 256
	// platformCallTimeout bounds one call of a service of the platform.
	platformCallTimeout = 5 * time.Second
)

// ConfigurationPeers are the other routers, as a source of configuration while the log doesn't answer.
type ConfigurationPeers interface {
	// NewestConfiguration returns the entries of the configuration stream from an offset on, as far as a
	// router in reach knows them.
	NewestConfiguration(ctx context.Context, next platform.Offset) []platform.Entry
}

// Configuration follows the configuration stream. It never puts an older configuration on the
// blackboard: it only ever folds entries above the ones it has folded.
type Configuration struct {
	board  *blackboard.Board
	stream platform.Log
	ledger *ledgerstream.Client
	peers  ConfigurationPeers
	logger log.Interface
	// current is ahead of the blackboard until the stream was read to its end for the first time.
	current *operator.Configuration
}

// NewConfiguration returns a controller that has read nothing.
func NewConfiguration(board *blackboard.Board, stream platform.Log, client *ledgerstream.Client, peers ConfigurationPeers, logger log.Interface) *Configuration {
	return &Configuration{
		board:   board,
		stream:  stream,
		ledger:  client,
		peers:   peers,
		logger:  logger,
		current: &operator.Configuration{},
	}
}

// Run follows the stream until ctx ends.
func (c *Configuration) Run(ctx context.Context) error {
	for {
		hasMore := c.step(ctx)
		if hasMore {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(configurationPollInterval):
		}
	}
}

// step reads and folds one batch. It reports whether more may be waiting.
func (c *Configuration) step(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	entries, err := c.stream.Read(bounded, platform.ConfigurationStream, c.current.Next, configurationReadLimit)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) {
		return c.recoverFromSnapshot(bounded)
	}
	if err != nil {
		c.board.Count(configurationReadFailed)
		return c.readFromPeers(ctx)
	}
	c.foldEntries(entries)
	if len(entries) > 0 {
		return true
	}
	c.publish()
	return false
}

// readFromPeers takes over what other routers know while the log doesn't answer. Only a router that has been
// ready before does so: a new one can't tell how far the peers are behind the log.
func (c *Configuration) readFromPeers(ctx context.Context) bool {
	if c.board.Configuration.Load() == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	entries := c.peers.NewestConfiguration(bounded, c.current.Next)
	if len(entries) == 0 {
		return false
	}
	c.board.Count(configurationPeerEntries)
	c.foldEntries(entries)
	c.publish()
	return false
}

// foldEntries folds entries in one go, so that a long stream copies the configuration once a batch.
func (c *Configuration) foldEntries(entries []platform.Entry) {
	next, outcomes := c.current.ApplyAll(entries)
	c.current = next
	for i, outcome := range outcomes {
		c.recordOutcome(entries[i], outcome)
	}
}

func (c *Configuration) recordOutcome(e platform.Entry, outcome operator.Outcome) {
	switch o := outcome.(type) {
	case *operator.Accepted:
		c.board.Count(configurationTicketAccepted)
		c.logger.WithField("Number", o.Number).Info("change ticket in force")
	case *operator.Refused:
		c.board.Count(configurationTicketRefused)
		c.logger.WithFields(log.Fields{"Number": o.Number, "Reason": o.Reason}).Warn("change ticket refused")
	case *operator.Duplicate:
		c.board.Count(configurationTicketDuplicate)
	case *operator.Malformed:
		c.board.Count(configurationTicketMalformed)
	case *operator.OutOfOrder:
		c.board.Count(configurationEntryOutOfOrder)
		return
	}
	c.board.Entries.Add(e)
}

// publish puts the configuration on the blackboard once the stream has been read to its end, and tells
// the ledger's client about the budgets that the ledger has to learn.
func (c *Configuration) publish() {
	if c.board.Configuration.Load() == c.current {
		return
	}
	c.board.Configuration.Store(c.current)
	c.ledger.SetConfigurationPosition(c.current.Next, c.current.Number)
	c.ledger.DeclarePrepaid(prepaidRecords(c.current))
}

func prepaidRecords(c *operator.Configuration) []ledger.Prepaid {
	records := make([]ledger.Prepaid, 0, len(c.Budgets))
	for _, b := range c.Budgets {
		records = append(records, ledger.Prepaid{
			Budget: b.Name,
			Ticket: b.Ticket,
			Total:  b.Prepaid,
			Frozen: b.Frozen,
			Reserve: ledger.ReservePolicy{
				Share:          b.Reserve.Share,
				ForfeitResidue: b.Reserve.ForfeitResidue,
			},
		})
	}
	return records
}

// recoverFromSnapshot continues from the newest usable snapshot when the log has dropped entries that were not read
// yet. Without one the router keeps what it has, which for a new router is nothing: it stays unready.
func (c *Configuration) recoverFromSnapshot(ctx context.Context) bool {
	c.board.Count(configurationReadTruncated)
	snapshot := c.newestSnapshot(ctx)
	if snapshot == nil || snapshot.Next <= c.current.Next {
		c.board.Count(configurationSnapshotMissing)
		return false
	}
	c.current = snapshot
	c.logger.WithField("Next", snapshot.Next).Info("configuration continued from a snapshot")
	return true
}

// newestSnapshot returns the usable snapshot that covers the most; nil if there is none.
func (c *Configuration) newestSnapshot(ctx context.Context) *operator.Configuration {
	var newest *operator.Configuration
	assembler := &operator.SnapshotAssembler{}
	reader := platform.KeptReader{Log: c.stream, Stream: platform.ConfigurationSnapshotStream, Limit: configurationReadLimit}
	// What was complete before a failed read is as good as without it.
	_ = reader.Read(ctx, func(e platform.Entry) {
		snapshot, err := assembler.Add(e.Payload)
		if err != nil {
			c.board.Count(configurationSnapshotMalformed)
		}
		if snapshot != nil {
			newest = snapshot
		}
	})
	return newest
}
