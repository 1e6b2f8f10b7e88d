package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

const (
	// configurationWait is how long a read of the configuration's topic waits for a change: a read that the network
	// swallows holds the next one up for no longer than a part of the time in which changes must be in force.
	configurationWait = 1 * time.Second
	// configurationPause lies between two reads, so that changes in quick succession are decoded once.
	configurationPause = 100 * time.Millisecond
	// directoryWait is how long a read of the endpoints' entries waits for a change, directoryPause lies between two reads:
	// parts of the time in which an endpoint that leaves must get no new requests. Endpoints write about once a second each,
	// so that the pause sets how often routers read.
	directoryWait  = 1 * time.Second
	directoryPause = 300 * time.Millisecond
	// callMargin is what a call to the platform may take beyond its wait.
	callMargin = 800 * time.Millisecond
	// failurePause lies between a failed call and the next. For entries of some hundred bytes that one takes no longer than
	// entriesTimeout, so that the end of an outage is seen within their sum; but each patientEvery-th may take as long as any, so that
	// more entries than the link brings in entriesTimeout are read too.
	failurePause   = 150 * time.Millisecond
	entriesTimeout = 600 * time.Millisecond
	patientEvery   = 3
)

// Source tells where the platform keeps what a follower reads, and how to read it.
type Source struct {
	Log platform.KeyedLog
	// ConfigurationTopic holds the configuration under ConfigurationKey.
	ConfigurationTopic, ConfigurationKey string
	// DirectoryTopic holds the endpoints' entries by their names.
	DirectoryTopic string
	// Configuration and Endpoint decode a record's value. An error leaves what was known in force.
	Configuration func(value []byte) (*site.Configuration, error)
	Endpoint      func(key string, value []byte) (site.Endpoint, error)
}

// follower keeps up with one partition of a keyed topic.
type follower struct {
	log   platform.KeyedLog
	topic string
	wait  time.Duration
	// again bounds most reads after one that failed; zero sets no other bound than that of each read.
	again time.Duration
	next  int64
	// begun says that the newest records were read, and all since then.
	begun bool
	// failures counts the reads since the last that had an answer.
	failures int
}

// batch is what a read brought: the newest record of each key, or the records since the last read.
type batch struct {
	records []platform.KeyedRecord
	whole   bool
}

// read returns what is next. After a read that failed it returns the newest records in place of all that came meanwhile,
// which may be more than a link brings in time.
func (f *follower) read(ctx context.Context) (batch, error) {
	timeout := f.wait + callMargin
	if f.again > 0 && f.failures%patientEvery != 0 {
		timeout = f.again
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read, err := f.call(ctx)
	f.begun = err == nil
	f.failures++
	if err == nil || errors.Is(err, platform.ErrTrimmed) {
		f.failures = 0
	}
	return read, err
}

func (f *follower) call(ctx context.Context) (batch, error) {
	if !f.begun {
		state, err := f.log.Newest(ctx, f.topic, 0)
		if err != nil {
			return batch{}, err
		}
		f.next = state.End
		return batch{records: state.Records, whole: true}, nil
	}
	tail, err := f.log.ReadKeyed(ctx, f.topic, 0, f.next, f.wait)
	if err != nil {
		return batch{}, err
	}
	f.next = tail.Next
	return batch{records: tail.Records}, nil
}

// Configurations puts each newer configuration on the board.
type Configurations struct {
	Board  *Board
	Source Source
	// Changed is called with each new configuration.
	Changed func(*site.Configuration)
	Logger  log.Interface
}

// Run follows the configuration until the context ends.
func (c *Configurations) Run(ctx context.Context) error {
	f := &follower{log: c.Source.Log, topic: c.Source.ConfigurationTopic, wait: configurationWait}
	var reach reachability
	for ctx.Err() == nil {
		read, err := f.read(ctx)
		reach.note(c.Logger, "configuration", err)
		if err != nil {
			clock.Sleep(ctx, failurePause)
			continue
		}
		c.take(read)
		clock.Sleep(ctx, configurationPause)
	}
	return nil
}

// take puts the newest configuration of a batch in force unless it is older than the one before.
func (c *Configurations) take(read batch) {
	for i := len(read.records) - 1; i >= 0; i-- {
		record := read.records[i]
		if record.Key != c.Source.ConfigurationKey || len(record.Value) == 0 {
			continue
		}
		configuration, err := c.Source.Configuration(record.Value)
		if err != nil {
			c.Board.Count(configurationUnreadable)
			c.Logger.WithError(err).Error("configuration can't be read")
			continue
		}
		before := c.Board.Configuration.Load()
		if before != nil && configuration.Version <= before.Version {
			return
		}
		configuration.Index()
		c.Changed(configuration)
		c.Board.Configuration.Store(configuration)
		c.Logger.WithFields(log.Fields{
			"Version": configuration.Version, "Routes": len(configuration.Routes), "Teams": len(configuration.Teams),
		}).Info("configuration in force")
		return
	}
}

// Directories keeps the board's directory of endpoints.
type Directories struct {
	Board  *Board
	Source Source
	Logger log.Interface

	register site.Register
}

// Run follows the endpoints' entries until the context ends.
func (d *Directories) Run(ctx context.Context) error {
	f := &follower{log: d.Source.Log, topic: d.Source.DirectoryTopic, again: entriesTimeout}
	var reach reachability
	for ctx.Err() == nil {
		f.wait = d.untilExpiry(directoryWait)
		read, err := f.read(ctx)
		reach.note(d.Logger, "directory", err)
		now := time.Now()
		d.register.Away(now, err != nil && !errors.Is(err, platform.ErrTrimmed))
		changed := d.register.Expire(now)
		if err == nil {
			changed = d.take(now, read) || changed || read.whole
		}
		if changed {
			d.Board.Directory.Store(d.register.Directory())
		}
		pause := d.untilExpiry(directoryPause)
		if err != nil {
			pause = failurePause
		}
		clock.Sleep(ctx, pause)
	}
	return nil
}

// untilExpiry shortens a wait to the time until the next lapsed entry is dropped.
func (d *Directories) untilExpiry(wait time.Duration) time.Duration {
	next, ok := d.register.NextExpiry()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(next)))
}

// take folds a batch and reports whether the directory changed. An entry that can't be read names no endpoint.
func (d *Directories) take(now time.Time, read batch) bool {
	var listed []site.Endpoint
	changed := false
	for _, record := range read.records {
		if len(record.Value) == 0 {
			changed = d.remove(now, record.Key) || changed
			continue
		}
		e, err := d.Source.Endpoint(record.Key, record.Value)
		if err != nil {
			d.Board.Count(entryUnreadable)
			changed = d.remove(now, record.Key) || changed
			continue
		}
		if read.whole {
			listed = append(listed, e)
			continue
		}
		if d.register.Put(e) {
			changed = true
			d.Logger.WithFields(log.Fields{fieldEndpoint: e.Name, "Service": e.Service, "State": e.State.String()}).Info("endpoint changed")
		}
	}
	if read.whole {
		changed = d.register.Replace(now, listed) || changed
		d.Logger.WithFields(log.Fields{"Endpoints": len(listed), "Changed": changed}).Info("endpoints read anew")
	}
	return changed
}

func (d *Directories) remove(now time.Time, name string) bool {
	removed := d.register.Remove(now, name)
	if removed {
		d.Logger.WithField(fieldEndpoint, name).Info("endpoint removed")
	}
	return removed
}

// reachability logs when a part of the platform is lost and when it is back.
type reachability struct {
	lost  bool
	since time.Time
}

func (r *reachability) note(logger log.Interface, what string, err error) {
	now := time.Now()
	switch {
	case err != nil && !r.lost:
		r.lost, r.since = true, now
		logger.WithField("Of", what).WithError(err).Warn("platform lost")
	case err == nil && r.lost:
		r.lost = false
		logger.WithFields(log.Fields{"Of": what, "Milliseconds": now.Sub(r.since).Milliseconds()}).Info("platform regained")
	}
}
