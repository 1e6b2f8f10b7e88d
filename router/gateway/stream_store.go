package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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

// StreamTopic is the keyed topic with the versions of streams, in records of several under a router's instance name and a number.
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
	// streamRestoreWait bounds the time that a resumption waits for the versions that were written before this router's start. It is below
	// streamCallTimeout, so that another router's question is answered.
	streamRestoreWait = 200 * time.Millisecond
	// maxRecordSequence bounds the numbers of records, so that none overflows.
	maxRecordSequence = 1 << 60
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
	// Streams are the streams' keys, of 8 bytes each, the highest byte first.
	Streams []byte
}

// streamKeyBytes is the length of a stream's key in a streamGroup.
const streamKeyBytes = 8

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
	// isWriter reports whether this router writes the versions of any streams.
	isWriter func() bool
	// onRestored is called once with the versions that were written before this process started.
	onRestored func([]peer.StreamVersion)
	// restored is closed after onRestored has been called.
	restored chan struct{}

	// leftovers are the keys of other routers' records, and of odd ones, that were read at restoredAt. Their routers may be gone, so that this one
	// deletes them once they are too old to be of use. Only run uses both.
	leftovers  []string
	restoredAt time.Time

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

// write writes the records of the slots with new streams, and reports whether nothing waits to be written again.
func (s *streamStore) write(ctx context.Context) bool {
	s.mu.Lock()
	pending, ok := s.slots.Pending(time.Now())
	s.mu.Unlock()
	if !ok {
		return true
	}
	var records []platform.KeyedRecord
	for _, slot := range pending.Records {
		value, err := json.Marshal(newStreamRecord(slot))
		if err != nil {
			s.logger.WithError(err).Error("cannot encode versions of streams")
			return true
		}
		records = append(records, platform.KeyedRecord{Key: s.recordKey(slot.Sequence), Value: value})
	}
	for _, dropped := range pending.Dropped {
		records = append(records, platform.KeyedRecord{Key: s.recordKey(dropped)})
	}
	dropsLeftovers := time.Since(s.restoredAt) > endpoint.StreamMemory
	if dropsLeftovers {
		for _, key := range s.leftovers {
			records = append(records, platform.KeyedRecord{Key: key})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
	defer cancel()
	if _, err := s.log.AppendAt(ctx, StreamTopic, s.partition(), platform.AnyOffset, records); err != nil {
		s.state.Count(streamWritesFailed)
		return false
	}
	if dropsLeftovers {
		s.leftovers = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.Acknowledge(time.Now(), pending)
	return true
}

func (s *streamStore) recordKey(sequence int64) string {
	return s.self + "/" + strconv.FormatInt(sequence, 10)
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
	if !s.isWriter() {
		close(s.restored)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, streamRestoreTimeout)
	defer cancel()
	startedAt := time.Now()
	written, err := s.log.Newest(ctx, StreamTopic, s.partition())
	if err != nil {
		return false
	}
	records, own := s.decodeRecords(written.Records)
	versions := agreedVersions(records)
	s.mu.Lock()
	s.slots.Resume(time.Now(), own)
	s.mu.Unlock()
	s.restoredAt = time.Now()
	s.onRestored(versions)
	close(s.restored)
	s.logger.WithFields(log.Fields{"Records": len(records), "Streams": len(versions), fieldMilliseconds: time.Since(startedAt).Milliseconds()}).
		Info("versions of streams restored")
	return true
}

// decodeRecords decodes the records that this router restores, and returns the sequence numbers of its own ones. It notes the others as
// leftovers.
func (s *streamStore) decodeRecords(written []platform.KeyedRecord) (records []streamRecord, own []int64) {
	readsAll := s.roster.Len() <= maxOwnWriters
	for _, r := range written {
		isOwn := strings.HasPrefix(r.Key, s.self+"/")
		if len(r.Value) == 0 {
			continue
		}
		if !isOwn && !readsAll {
			s.leftovers = append(s.leftovers, r.Key)
			continue
		}
		record, err := decodeStreamRecord(r.Value)
		if err != nil {
			s.logger.WithField("Key", r.Key).WithError(err).Warn("cannot decode a router's record of streams")
			s.leftovers = append(s.leftovers, r.Key)
			continue
		}
		records = append(records, record)
		if isOwn {
			own = append(own, record.Sequence)
		} else {
			s.leftovers = append(s.leftovers, r.Key)
		}
	}
	return records, own
}

// newStreamRecord groups the streams of a slot by service and version.
func newStreamRecord(slot endpoint.SlotRecord[peer.StreamVersion]) streamRecord {
	record := streamRecord{Sequence: slot.Sequence}
	groups := make(map[[2]string]int)
	for _, v := range slot.Streams {
		key := [2]string{v.Service, v.Version}
		if _, ok := groups[key]; !ok {
			groups[key] = len(record.Groups)
			record.Groups = append(record.Groups, streamGroup{Service: v.Service, Version: v.Version})
		}
		group := &record.Groups[groups[key]]
		group.Streams = binary.BigEndian.AppendUint64(group.Streams, v.Stream)
	}
	return record
}

var (
	errBadSequence  = errors.New("sequence number is out of range")
	errPartialField = errors.New("field ends inside a stream's key")
)

func decodeStreamRecord(value []byte) (streamRecord, error) {
	var record streamRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return streamRecord{}, fmt.Errorf("decode record of streams: %w", err)
	}
	if record.Sequence < 0 || record.Sequence > maxRecordSequence {
		return streamRecord{}, errBadSequence
	}
	for _, group := range record.Groups {
		if len(group.Streams)%streamKeyBytes != 0 {
			return streamRecord{}, errPartialField
		}
	}
	return record, nil
}

// agreedVersions returns the versions of the streams on which all records agree.
func agreedVersions(records []streamRecord) []peer.StreamVersion {
	versions := make(map[uint64]peer.StreamVersion)
	isDisputed := make(map[uint64]bool)
	for _, record := range records {
		for _, group := range record.Groups {
			for key := range slices.Chunk(group.Streams, streamKeyBytes) {
				stream := binary.BigEndian.Uint64(key)
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
