package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/router/cold"
	"github.com/dragonflyworks/dragonflyworks/router/places"
)

const (
	// configurationWait is the long-poll time of a read of the configuration's topic. It is a fraction of the time
	// within which changes must be in force, because a read whose answer is lost in the network delays the next one by
	// that long.
	configurationWait = 1 * time.Second
	// configurationReadDelay is the delay between two reads, so that of several changes in quick succession only the
	// newest is decoded.
	configurationReadDelay = 100 * time.Millisecond
	// directoryWait is the long-poll time of a read of the endpoints' entries, directoryReadDelay the delay between two
	// reads. Both are fractions of the time within which an endpoint that drains must get no new requests. Endpoints
	// write about once a second each, so that the delay determines how often routers read.
	directoryWait      = 1 * time.Second
	directoryReadDelay = 300 * time.Millisecond
	// directoryHedgeInterval is how long a call for the endpoints' entries may take beyond its long-poll time before the read is made again
	// on a new connection, and the interval between further calls. The end of an outage, from which RetentionGrace counts, is noticed
	// within this time and a round trip.
	directoryHedgeInterval = 400 * time.Millisecond
	// callTimeoutMargin is the time that a call to the platform may take beyond its long-poll time, snapshotTimeout the time for a snapshot.
	callTimeoutMargin = 800 * time.Millisecond
	snapshotTimeout   = 1800 * time.Millisecond
	// retryDelay is the delay between a failed call and the next. A retry for routers' entries of some hundred bytes times out
	// after shortReadTimeout, so that the end of an outage is noticed within the sum of the two. Each longReadEvery-th
	// retry has the full timeout, so that entries that the link can't transfer within shortReadTimeout are read too.
	retryDelay       = 150 * time.Millisecond
	shortReadTimeout = 600 * time.Millisecond
	longReadEvery    = 3
)

// Source names the topics on the platform that followers read, and decodes their records.
type Source struct {
	Log platform.KeyedLog
	// Fresh is the same log, with a new connection for each call. Reads that get no answer from Log in time are made again there. If it is nil,
	// they are made again with Log.
	Fresh platform.KeyedLog
	// ConfigurationTopic is the topic with the configuration, under the key ConfigurationKey.
	ConfigurationTopic, ConfigurationKey string
	// DirectoryTopic is the topic with the endpoints' entries, by endpoint name.
	DirectoryTopic string
	// DecodeConfiguration and DecodeEndpoint decode a record's value. A configuration that can't be decoded leaves the
	// previous one in force; an endpoint's entry that can't be decoded
	// names no endpoint to use.
	DecodeConfiguration func(value []byte) (*site.Configuration, error)
	DecodeEndpoint      func(key string, value []byte) (site.Endpoint, error)
}

// follower reads the records of one partition of a keyed topic as they are written.
type follower struct {
	log          platform.KeyedLog
	topic        string
	longPollWait time.Duration
	// fresh is used for reads that are made again because they got no answer in hedgeInterval; none are if that is zero.
	fresh         platform.KeyedLog
	hedgeInterval time.Duration
	// retryTimeout bounds reads after a failed one, except each longReadEvery-th; zero leaves the normal timeout in force.
	retryTimeout time.Duration
	nextOffset   int64
	// hasSnapshot is true once the newest record of each key has been read and no read has failed since.
	hasSnapshot bool
	// failures counts consecutive reads without an answer from the platform.
	failures int
}

// batch is the result of one read: a snapshot with the newest record of each key, or the records since the previous
// read.
type batch struct {
	records    []platform.KeyedRecord
	isSnapshot bool
	// written is the number of records that were written since the read before a snapshot.
	written int64
	// wasSilent reports whether only a call on a new connection was answered.
	wasSilent bool
}

// read returns the next batch. After a failed read it fetches a snapshot instead of all records written since, which
// may be more than the link can transfer within the timeout.
func (f *follower) read(ctx context.Context) (batch, error) {
	timeout := f.longPollWait + callTimeoutMargin
	if !f.hasSnapshot {
		timeout = max(timeout, snapshotTimeout)
	}
	if f.retryTimeout > 0 && f.failures%longReadEvery != 0 {
		timeout = f.retryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	received, err := f.fetch(ctx)
	f.hasSnapshot = err == nil
	f.failures++
	if err == nil || errors.Is(err, platform.ErrTrimmed) {
		f.failures = 0
	}
	return received, err
}

func (f *follower) fetch(ctx context.Context) (batch, error) {
	fresh := f.fresh
	if fresh == nil {
		fresh = f.log
	}
	if !f.hasSnapshot {
		return f.fetchSnapshot(ctx, fresh)
	}
	// Calls that are no longer waited for may go on after nextOffset has changed.
	topic, from := f.topic, f.nextOffset
	read := func(keyed platform.KeyedLog, wait time.Duration) func(context.Context) (platform.KeyedTail, error) {
		return func(ctx context.Context) (platform.KeyedTail, error) {
			return keyed.ReadKeyed(ctx, topic, 0, from, wait)
		}
	}
	hedge := platform.Hedge{Patience: f.longPollWait + f.hedgeInterval, Interval: f.hedgeInterval}
	tail, err := platform.ReadHedged(ctx, hedge, read(f.log, f.longPollWait), read(fresh, 0))
	if err != nil {
		return batch{}, err
	}
	f.nextOffset = tail.Value.Next
	return batch{records: tail.Value.Records, wasSilent: !tail.IsFirst}, nil
}

func (f *follower) fetchSnapshot(ctx context.Context, fresh platform.KeyedLog) (batch, error) {
	read := func(keyed platform.KeyedLog) func(context.Context) (platform.KeyedState, error) {
		return func(ctx context.Context) (platform.KeyedState, error) { return keyed.Newest(ctx, f.topic, 0) }
	}
	hedge := platform.Hedge{Patience: f.hedgeInterval, Interval: f.hedgeInterval}
	state, err := platform.ReadHedged(ctx, hedge, read(f.log), read(fresh))
	if err != nil {
		return batch{}, err
	}
	written := state.Value.End - f.nextOffset
	f.nextOffset = state.Value.End
	return batch{records: state.Value.Records, isSnapshot: true, written: written, wasSilent: !state.IsFirst}, nil
}

// Configurations follows the configuration's topic and puts each newer configuration, and the evacuations beside it, in force.
type Configurations struct {
	Board  *Board
	Source Source
	// OnChange is called with each new configuration immediately before it is put in force.
	OnChange func(*site.Configuration)
	// Evacuations gets the records of the topic before the configuration does, so that a router which has a configuration knows the evacuated
	// zones; nil if there are none.
	Evacuations *places.EvacuationFollower
	Logger      log.Interface

	// longPollWait is the long-poll time of reads in nanoseconds; zero stands for configurationWait.
	longPollWait atomic.Int64
}

// readsToForce is the number of reads that fit into the time within which changes must be in force, so that one or two may fail.
const readsToForce = 5

// SetTimeToForce sets the time within which changes must be in force. A shorter time than the default shortens the reads.
func (c *Configurations) SetTimeToForce(t time.Duration) {
	c.longPollWait.Store(int64(min(configurationWait, t/readsToForce)))
}

// Run follows the configuration's topic until the context ends.
func (c *Configurations) Run(ctx context.Context) error {
	f := &follower{log: c.Source.Log, topic: c.Source.ConfigurationTopic, longPollWait: configurationWait}
	var outages outageLog
	for ctx.Err() == nil {
		if wait := time.Duration(c.longPollWait.Load()); wait > 0 {
			f.longPollWait = wait
		}
		received, err := f.read(ctx)
		outages.update(c.Logger, "configuration", err)
		if err != nil {
			clock.Sleep(ctx, retryDelay)
			continue
		}
		if c.Evacuations != nil {
			c.Evacuations.Apply(received.records, received.isSnapshot)
		}
		c.apply(received)
		clock.Sleep(ctx, configurationReadDelay)
	}
	return nil
}

// apply puts the newest configuration of a batch that can be decoded in force, unless its version is not above the
// current one.
func (c *Configurations) apply(received batch) {
	for i := len(received.records) - 1; i >= 0; i-- {
		record := received.records[i]
		if record.Key != c.Source.ConfigurationKey || len(record.Value) == 0 {
			continue
		}
		configuration, err := c.Source.DecodeConfiguration(record.Value)
		if err != nil {
			c.Board.Count(configurationUnreadable)
			c.Logger.WithError(err).Error("cannot decode the configuration; the previous one stays in force")
			continue
		}
		current := c.Board.Configuration.Load()
		if current != nil && configuration.Version <= current.Version {
			return
		}
		configuration.Index()
		c.OnChange(configuration)
		c.Board.Configuration.Store(configuration)
		c.Logger.WithFields(log.Fields{
			"Version": configuration.Version, "Routes": len(configuration.Routes), "Teams": len(configuration.Teams),
		}).Info("configuration in force")
		return
	}
}

// Directories follows the endpoints' entries and keeps the router's directory of endpoints up to date.
type Directories struct {
	Board  *Board
	Source Source
	// OnChange is called with each new directory immediately before it is put in force; it may be nil.
	OnChange func(*site.Directory)
	// Cold learns of all entries; it may be nil.
	Cold   *cold.Tracker
	Logger log.Interface

	// HeartbeatInterval is the time between two renewals of an endpoint's entry; zero if unknown.
	HeartbeatInterval time.Duration

	registry   site.EndpointRegistry
	oddEntries oddEntryLog
	// readSince is the start of the newest successful read: what later reads of new records bring was written after it.
	readSince time.Time
	// appliedOffset is the offset of the first record that the directory in force doesn't include.
	appliedOffset atomic.Int64
}

// Run follows the endpoints' entries until the context ends.
func (d *Directories) Run(ctx context.Context) error {
	d.registry.HeartbeatInterval = d.HeartbeatInterval
	f := &follower{log: d.Source.Log, fresh: d.Source.Fresh, topic: d.Source.DirectoryTopic, hedgeInterval: directoryHedgeInterval}
	var outages outageLog
	for ctx.Err() == nil {
		f.longPollWait = d.capAtNextExpiry(directoryWait)
		startedAt := time.Now()
		received, err := f.read(ctx)
		outages.update(d.Logger, "directory", err)
		d.recordSilence(received)
		now := time.Now()
		d.registry.SetUnreachable(now, err != nil && !errors.Is(err, platform.ErrTrimmed))
		changed := d.registry.DropExpired(now)
		if err == nil {
			changed = d.apply(now, received) || changed || received.isSnapshot
			d.readSince = startedAt
		}
		if changed {
			d.publish(d.registry.Directory())
		}
		if err == nil {
			d.appliedOffset.Store(f.nextOffset)
			d.Board.DirectoryReadAt.Store(&now)
		}
		delay := d.capAtNextExpiry(directoryReadDelay)
		if err != nil {
			delay = retryDelay
		}
		clock.Sleep(ctx, delay)
	}
	return nil
}

func (d *Directories) publish(directory *site.Directory) {
	if d.OnChange != nil {
		d.OnChange(directory)
	}
	d.Board.Directory.Store(directory)
}

// capAtNextExpiry limits a wait to the time until the next expired entry must be dropped.
func (d *Directories) capAtNextExpiry(wait time.Duration) time.Duration {
	next, ok := d.registry.NextExpiry()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(next)))
}

// apply merges a batch into the registry and reports whether the directory changed. An entry that can't be decoded
// names no endpoint to use.
func (d *Directories) apply(now time.Time, received batch) bool {
	var listed, read []site.Endpoint
	changed := false
	for _, record := range received.records {
		if len(record.Value) == 0 {
			changed = d.remove(now, record.Key) || changed
			continue
		}
		e, err := d.Source.DecodeEndpoint(record.Key, record.Value)
		if err != nil {
			d.Board.Count(endpointEntryUnreadable)
			d.oddEntries.warn(d.Logger, now, record.Key, err)
			changed = d.registry.Withdraw(record.Key) || changed
			continue
		}
		read = append(read, e)
		if received.isSnapshot {
			listed = append(listed, e)
			continue
		}
		hasChanged := d.registry.Put(e)
		d.registry.RecordWrite(e.Name, d.readSince)
		if hasChanged {
			changed = true
			d.Logger.WithFields(log.Fields{fieldEndpoint: e.Name, "Service": e.Service, "State": e.State.String()}).Info("endpoint changed")
		}
	}
	d.recordCold(now, read, received.isSnapshot)
	if received.isSnapshot {
		removals, hasChanged := d.registry.Replace(now, site.Snapshot{Endpoints: listed, Written: received.written})
		for name, removal := range removals {
			d.logRemoval(name, removal)
		}
		changed = hasChanged || changed
		d.Logger.WithFields(log.Fields{"Endpoints": len(listed), "Written": received.written, "Changed": changed}).Info("endpoint directory reloaded")
	}
	return changed
}

// recordCold passes on what entries say of endpoints that are cold. Those of a snapshot are of unknown age.
func (d *Directories) recordCold(now time.Time, read []site.Endpoint, isSnapshot bool) {
	if d.Cold == nil {
		return
	}
	arrival := endpoint.EntryArrival{ReadAt: now}
	if !isSnapshot {
		arrival.WrittenAfter = d.readSince
	}
	d.Cold.RecordEntries(arrival, read, isSnapshot)
}

func (d *Directories) remove(now time.Time, name string) bool {
	if d.Cold != nil {
		d.Cold.RecordRemoval(name)
	}
	removal := d.registry.Remove(now, name)
	if removal.IsListed {
		d.logRemoval(name, removal)
	}
	return removal.IsListed
}

func (d *Directories) logRemoval(name string, removal site.Removal) {
	d.Logger.WithFields(log.Fields{fieldEndpoint: name, "Retained": removal.IsRetained, "AgeMilliseconds": removal.Age.Milliseconds()}).Info("endpoint removed")
}

// recordSilence records that a read was answered on a new connection only.
func (d *Directories) recordSilence(received batch) {
	if received.wasSilent {
		d.Board.Count(platformConnectionSilent)
		d.Logger.WithField("Of", "directory").Info("platform read on a new connection")
	}
}

// outageLog logs when a topic of the platform becomes unreachable and when it is reachable again.
type outageLog struct {
	isUnreachable bool
	since         time.Time
}

func (l *outageLog) update(logger log.Interface, source string, err error) {
	now := time.Now()
	switch {
	case err != nil && !l.isUnreachable:
		l.isUnreachable, l.since = true, now
		logger.WithField("Of", source).WithError(err).Warn("platform lost")
	case err == nil && l.isUnreachable:
		l.isUnreachable = false
		logger.WithFields(log.Fields{"Of": source, fieldMilliseconds: now.Sub(l.since).Milliseconds()}).Info("platform regained")
	}
}
