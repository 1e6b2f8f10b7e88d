package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// StreamTopic is the keyed topic with the versions of streams: for each router a ring of records.
const StreamTopic = "keyed.streams"

const (
	// maxOwnWriters is the number of routers up to which each writes the versions of its own streams, and reads those of all others at its
	// start. With more routers, only the first streamWriters keepers of a stream write its version, and read their own records.
	maxOwnWriters = 15
	// streamWriters is the number of keepers that write the version of a stream to the platform in fleets above maxOwnWriters.
	streamWriters = 2
	// minStreamWriteDelay is the delay between two writes of a router, maxStreamWriteRate the writes a second of all routers together.
	minStreamWriteDelay = 50 * time.Millisecond
	maxStreamWriteRate  = 150
	// streamRestoreWait bounds the time that a resumption waits for the versions that were written before this router's start.
	streamRestoreWait = 300 * time.Millisecond
	// streamRestoreTimeout bounds a read of a partition with versions of streams.
	streamRestoreTimeout = 3 * time.Second
)

// streamRecord is a router's record with versions of streams, written as JSON.
type streamRecord struct {
	Sequence int64
	Groups   []streamGroup
}

// streamGroup lists the streams that a version of a service began.
type streamGroup struct {
	Service, Version string
	Streams          []uint64
}

// streamStore keeps the versions of streams on the platform, which outlasts the loss of all routers. A record states which version began a
// stream, so that records may be lost or old without a stream being resumed at another version.
type streamStore struct {
	state  *Board
	logger log.Interface
	log    platform.KeyedLog
	self   string
	// partitions is the number of partitions of StreamTopic.
	partitions int
	roster     *peer.Roster
	// hasRoster reports whether the routers' entries have been read.
	hasRoster func() bool
	// onRestored is called once with the versions that were written before this process started.
	onRestored func([]peer.StreamVersion)
	// restored is closed after onRestored has been called.
	restored chan struct{}

	mu    sync.Mutex
	slots endpoint.StreamSlots[peer.StreamVersion]
	added changeSignal
}

func newStreamStore(routers *Routers, state *Board, logger log.Interface) *streamStore {
	return &streamStore{
		state: state, logger: logger, log: routers.Log, self: routers.Self.Instance, partitions: max(1, routers.Partitions), roster: routers.Roster,
		hasRoster: routers.hasRoster.Load, restored: make(chan struct{}), added: newChangeSignal(),
	}
}

// add has the version of a stream written.
func (s *streamStore) add(v peer.StreamVersion) {
	s.mu.Lock()
	isAdded := s.slots.Add(time.Now(), v)
	s.mu.Unlock()
	if !isAdded {
		s.state.Count(streamVersionsNotStored)
	}
	s.added.signal()
}

// waitUntilRestored waits until the versions that were written before this process started are known.
func (s *streamStore) waitUntilRestored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, streamRestoreWait)
	defer cancel()
	select {
	case <-s.restored:
	case <-ctx.Done():
	}
}

// run reads the versions that were written before this process started, then writes those of new streams until the context ends.
func (s *streamStore) run(ctx context.Context) {
	for ctx.Err() == nil && !s.restore(ctx) {
		clock.Sleep(ctx, retryDelay)
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.added:
		}
		delay := streamWriteDelay(s.roster.Len())
		if !s.write(ctx) {
			s.added.signal()
			delay = max(delay, retryDelay)
		}
		clock.Sleep(ctx, delay)
	}
}

// streamWriteDelay returns the delay between two writes of a router.
func streamWriteDelay(routers int) time.Duration {
	writers := routers
	if routers > maxOwnWriters {
		writers = min(routers, streamWriters*endpoint.KeeperBuckets)
	}
	return max(minStreamWriteDelay, time.Duration(writers)*time.Second/maxStreamWriteRate)
}

// write writes the record of the current slot, and reports whether nothing waits to be written again.
func (s *streamStore) write(ctx context.Context) bool {
	s.mu.Lock()
	pending, ok := s.slots.Pending()
	s.mu.Unlock()
	if !ok {
		return true
	}
	value, err := json.Marshal(newStreamRecord(pending))
	if err != nil {
		s.logger.WithError(err).Error("cannot encode versions of streams")
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	key := s.self + "/" + strconv.FormatInt(pending.Slot(), 10)
	record := platform.KeyedRecord{Key: key, Value: value}
	if _, err := s.log.AppendAt(ctx, StreamTopic, s.partition(), platform.AnyOffset, []platform.KeyedRecord{record}); err != nil {
		s.state.Count(streamWritesFailed)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.Acknowledge(pending)
	return true
}

// partition returns the partition of this router's records. Small fleets share one, which each router reads as a whole.
func (s *streamStore) partition() int {
	if s.roster.Len() <= maxOwnWriters {
		return 0
	}
	return int(xxhash.Sum64String(s.self) % uint64(s.partitions))
}

// restore reads the versions that were written before this process started, and reports whether no further attempt is needed.
func (s *streamStore) restore(ctx context.Context) bool {
	if !s.hasRoster() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, streamRestoreTimeout)
	defer cancel()
	startedAt := time.Now()
	written, err := s.log.Newest(ctx, StreamTopic, s.partition())
	if err != nil {
		return false
	}
	records, highest := s.decodeRecords(written.Records)
	versions := agreedVersions(records)
	s.mu.Lock()
	s.slots.Resume(highest)
	s.mu.Unlock()
	s.onRestored(versions)
	close(s.restored)
	s.logger.WithFields(log.Fields{"Records": len(records), "Streams": len(versions), fieldMilliseconds: time.Since(startedAt).Milliseconds()}).
		Info("versions of streams restored")
	return true
}

// decodeRecords decodes the records that this router restores, and returns the highest sequence number of its own ones, or -1.
func (s *streamStore) decodeRecords(written []platform.KeyedRecord) (records []streamRecord, highest int64) {
	highest = -1
	readsAll := s.roster.Len() <= maxOwnWriters
	for _, r := range written {
		isOwn := strings.HasPrefix(r.Key, s.self+"/")
		if !isOwn && !readsAll {
			continue
		}
		record, err := decodeStreamRecord(r.Value)
		if err != nil {
			s.logger.WithField("Key", r.Key).WithError(err).Warn("cannot decode a router's record of streams")
			continue
		}
		records = append(records, record)
		if isOwn {
			highest = max(highest, record.Sequence)
		}
	}
	return records, highest
}

// newStreamRecord groups the streams of a slot by service and version.
func newStreamRecord(pending endpoint.SlotRecord[peer.StreamVersion]) streamRecord {
	record := streamRecord{Sequence: pending.Sequence}
	groups := make(map[[2]string]int)
	for _, v := range pending.Streams {
		key := [2]string{v.Service, v.Version}
		if _, ok := groups[key]; !ok {
			groups[key] = len(record.Groups)
			record.Groups = append(record.Groups, streamGroup{Service: v.Service, Version: v.Version})
		}
		group := &record.Groups[groups[key]]
		group.Streams = append(group.Streams, v.Stream)
	}
	return record
}

var errNegativeSequence = errors.New("sequence number is negative")

func decodeStreamRecord(value []byte) (streamRecord, error) {
	var record streamRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return streamRecord{}, fmt.Errorf("decode record of streams: %w", err)
	}
	if record.Sequence < 0 {
		return streamRecord{}, errNegativeSequence
	}
	return record, nil
}

// agreedVersions returns the versions of the streams on which all records agree.
func agreedVersions(records []streamRecord) []peer.StreamVersion {
	versions := make(map[uint64]peer.StreamVersion)
	isDisputed := make(map[uint64]bool)
	for _, record := range records {
		for _, group := range record.Groups {
			for _, stream := range group.Streams {
				v := peer.StreamVersion{Stream: stream, Service: group.Service, Version: group.Version}
				if known, ok := versions[stream]; ok && known != v {
					isDisputed[stream] = true
				}
				versions[stream] = v
			}
		}
	}
	var agreed []peer.StreamVersion
	for stream, v := range versions {
		if !isDisputed[stream] {
			agreed = append(agreed, v)
		}
	}
	return agreed
}
