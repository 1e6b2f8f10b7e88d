// Package controller keeps a router's blackboard up to date: its loops read the configuration stream and the instance list
// of the platform. It also writes the snapshots of the configuration.
package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/locality"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

const (
	// configurationPollInterval is the delay until the next read once the end of the configuration stream has been read.
	configurationPollInterval = 250 * time.Millisecond
	// configurationReadLimit is the maximum number of entries that one read of a stream returns.
	configurationReadLimit = 256
	// platformCallTimeout bounds one call to a service of the platform.
	platformCallTimeout = 5 * time.Second
)

// ConfigurationPeers reads the configuration from other routers while this router can't read the log.
type ConfigurationPeers interface {
	// NewestConfiguration returns the entries of the configuration stream that a reachable router has, from offset next on;
	// none if no reachable router has them.
	NewestConfiguration(ctx context.Context, next platform.Offset) []platform.Entry
}

// Configuration folds the configuration stream and publishes the configuration on the blackboard. A published
// configuration is never replaced by an older one, because the controller folds only entries above the folded ones and
// uses only snapshots that are newer than its configuration.
type Configuration struct {
	board  *blackboard.Board
	stream platform.Log
	ledger *ledgerstream.Client
	peers  ConfigurationPeers
	logger log.Interface
	// regionProblems are the mistakes in allowed regions that were reported last.
	regionProblems []locality.Problem
	// current is the folded configuration. It is published only when the stream has been read to its end, so that it may be
	// ahead of the blackboard until then.
	current *operator.Configuration
}

// NewConfiguration returns a controller that starts at the beginning of the configuration stream.
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

// Run reads the configuration stream until ctx ends. Its error is always nil.
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

// step reads and folds one batch of entries. It returns true if the next read should follow without a delay, because the
// end of the stream has not been reached.
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

// readFromPeers folds newer entries of another router while the log can't be read. A router that has not published a
// configuration yet does not use its peers, because it can't tell how far they are behind the log.
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

// foldEntries folds a batch of entries together, so that the configuration is copied once per batch and not per entry.
func (c *Configuration) foldEntries(entries []platform.Entry) {
	next, outcomes := c.current.ApplyAll(entries)
	c.current = next
	for i, outcome := range outcomes {
		c.recordOutcome(entries[i], outcome)
	}
}

// recordOutcome counts and logs the outcome of an entry. It keeps the entry for other routers unless the entry had been
// folded before.
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

// publish puts a new configuration on the blackboard, and passes the ledger's client the position of the configuration and
// the prepaid totals of all budgets, which the ledger has to record. Before the first call the stream must have been read
// to its end.
func (c *Configuration) publish() {
	if c.board.Configuration.Load() == c.current {
		return
	}
	c.board.Configuration.Store(c.current)
	c.reportRegions()
	c.ledger.SetConfigurationPosition(c.current.Next, c.current.Number)
	c.ledger.DeclarePrepaid(prepaidRecords(c.current))
}

// reportRegions reports the mistakes in allowed regions that a ticket alone doesn't show, once for each configuration with other ones.
func (c *Configuration) reportRegions() {
	problems := locality.CheckConfiguration(regionsOf(c.current))
	if slices.Equal(problems, c.regionProblems) {
		return
	}
	c.regionProblems = problems
	for _, p := range problems {
		c.board.Count(configurationRegions)
		c.logger.WithFields(log.Fields{"Number": c.current.Number, "Problem": p.String()}).Error("allowed regions of the configuration are wrong")
	}
}

// regionsOf returns the allowed regions of a configuration's routes and teams, and the region of each availability zone.
func regionsOf(c *operator.Configuration) (*site.Configuration, map[string]string) {
	regions, zones := &site.Configuration{}, make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		if route := c.Routes[name]; !route.Removed {
			regions.Routes = append(regions.Routes, site.Route{Name: name, Regions: route.Regions})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if team := c.Teams[name]; !team.Removed {
			regions.Teams = append(regions.Teams, site.Team{Name: name, Regions: team.Regions})
		}
	}
	for _, set := range c.InstanceSets {
		for _, e := range set.Endpoints {
			zones[e.AvailabilityZone] = e.Region
		}
	}
	return regions, zones
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

// recoverFromSnapshot continues from the newest usable snapshot after the log has dropped entries that the router had not
// read. It reports whether it found a snapshot newer than the current configuration. If there is none, the router keeps
// its configuration; a new router has no configuration and stays unready.
func (c *Configuration) recoverFromSnapshot(ctx context.Context) bool {
	c.board.Count(configurationReadTruncated)
	snapshot := c.newestSnapshot(ctx)
	if snapshot == nil || snapshot.Next <= c.current.Next {
		c.board.Count(configurationSnapshotMissing)
		return false
	}
	c.current = snapshot
	c.logger.WithField("Next", snapshot.Next).Info("configuration restored from a snapshot")
	return true
}

// newestSnapshot returns the usable snapshot that reaches furthest in the configuration stream; nil if there is none.
func (c *Configuration) newestSnapshot(ctx context.Context) *operator.Configuration {
	var newest *operator.Configuration
	assembler := &operator.SnapshotAssembler{}
	reader := platform.RetainedReader{Log: c.stream, Stream: platform.ConfigurationSnapshotStream, Limit: configurationReadLimit}
	// The error is ignored: snapshots that were complete before a failed read are still usable.
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
