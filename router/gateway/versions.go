package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/clock"
	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
)

const (
	// streamKeepers is the number of other routers that keep the version of a stream: two of them may be lost with its router.
	streamKeepers = 3
	// maxStreamLookups is the number of other routers that are asked for the version of a stream. Those that keep it are among the first in
	// the order of ranks, unless many were unresponsive.
	maxStreamLookups = 6
	// streamSendDelay is the delay after which the version of a new stream is sent to its keepers, together with those of others.
	streamSendDelay = 50 * time.Millisecond
	// streamCallTimeout bounds a message to a keeper: a handshake and an exchange between regions.
	streamCallTimeout = 300 * time.Millisecond
	// resumptionMargin is the time by which a caller may resume a stream later than the route's timeout allows a request to take.
	resumptionMargin = 3 * time.Second
	// maxDirectoryAge is the age of the endpoints' entries up to which they show all versions that serve: a long poll, the delay before it and
	// its answer.
	maxDirectoryAge = 2 * time.Second
	// maxQueuedStreams bounds the versions of streams that wait to be sent; those of further streams are kept by this router only.
	maxQueuedStreams = 2048
)

// boundVersion is the software version at which a stream may go on. The zero value binds to none.
type boundVersion struct {
	version string
	isBound bool
}

// allows reports whether a stream may go on at an endpoint.
func (b boundVersion) allows(e *site.Endpoint) bool {
	return !b.isBound || b.version == e.SoftwareVersion
}

// unnamedStream stands for a stream whose request has no identifier, or that a caller resumes without naming it.
const unnamedStream uint64 = 0

// streamKey identifies a stream by the team and the identifier of the request that brought its first event.
func streamKey(team, identifier string) uint64 {
	if identifier == "" {
		return unnamedStream
	}
	return xxhash.Sum64String(team + "\n" + identifier)
}

// streamPeers carries messages to the keepers of streams.
type streamPeers interface {
	// SendVersions makes the router on an instance keep the versions of streams.
	SendVersions(ctx context.Context, instance string, list []peer.StreamVersion) error
	// FetchVersion asks the router on an instance for the version of a stream of a service. See peer.StreamKeeper.
	FetchVersion(ctx context.Context, instance string, stream uint64, service string) (peer.StreamVersion, bool, error)
}

// streamTracker remembers which software versions began streams, here and for other routers, so that a stream can be resumed at any
// router.
type streamTracker struct {
	state *Board
	// self is this router's instance, roster lists all routers, and peers carries messages to the others; nil if there are none.
	self   string
	roster *peer.Roster
	peers  streamPeers
	// store keeps the versions on the platform; nil if there are no other routers.
	store *streamStore
	// newer reads the endpoints' entries that the directory doesn't include yet.
	newer newerEntries
	// isFirstStart reports whether the site has started for the first time, so that no stream is older than this process.
	isFirstStart bool

	mu        sync.Mutex
	versions  endpoint.StreamVersions[peer.StreamVersion]
	histories map[string]*endpoint.VersionHistory
	queue     []peer.StreamVersion
	// queued signals that queue has become longer.
	queued changeSignal
	// ranked holds the routers in the order in which they keep the streams of each bucket, as of the roster's change count rankedAt.
	ranked   map[uint64][]string
	rankedAt int64
	// unresponsiveAt is, by instance, when a message to another router last failed.
	unresponsiveAt map[string]time.Time
}

func newStreamTracker(state *Board) *streamTracker {
	return &streamTracker{
		state: state, queued: newChangeSignal(),
		histories: make(map[string]*endpoint.VersionHistory), unresponsiveAt: make(map[string]time.Time),
	}
}

// KeepVersions implements peer.StreamKeeper.
func (s *streamTracker) KeepVersions(list []peer.StreamVersion) {
	s.mu.Lock()
	for _, v := range list {
		s.versions.Record(time.Now(), v.Stream, v)
	}
	s.mu.Unlock()
	for _, v := range list {
		if s.store != nil && s.isWriter(v.Stream, false) {
			s.store.add(v)
		}
	}
}

// restoreVersions remembers versions that were written before this process started. What this process has learned itself is newer.
func (s *streamTracker) restoreVersions(list []peer.StreamVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range list {
		if _, ok := s.versions.Get(time.Now(), v.Stream); !ok {
			s.versions.Record(time.Now(), v.Stream, v)
		}
	}
}

// isWriter reports whether this router writes the version of a stream to the platform. isOwn reports whether it began the stream.
func (s *streamTracker) isWriter(stream uint64, isOwn bool) bool {
	if s.roster.Len() <= maxOwnWriters {
		return isOwn
	}
	return slices.Contains(s.rankedKeepers(stream)[:min(streamWriters, s.roster.Len())], s.self)
}

// Version implements peer.StreamKeeper.
func (s *streamTracker) Version(stream uint64, service string) (peer.StreamVersion, bool) {
	if s.store != nil {
		s.store.waitUntilRestored(context.Background())
	}
	if known, ok := s.known(stream); ok {
		return known, true
	}
	return s.onlyVersion(service, endpoint.StreamMemory)
}

// known returns the version of a stream if this router remembers it.
func (s *streamTracker) known(stream uint64) (peer.StreamVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Get(time.Now(), stream)
}

// record remembers the version of a stream, and has other routers keep it and the platform store it.
func (s *streamTracker) record(v peer.StreamVersion) {
	if s.store != nil && s.isWriter(v.Stream, true) {
		s.store.add(v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.Record(time.Now(), v.Stream, v)
	if s.peers == nil {
		return
	}
	if len(s.queue) >= maxQueuedStreams {
		s.state.Count(streamVersionsNotSent)
		return
	}
	s.queue = append(s.queue, v)
	s.queued.signal()
}

// observe records the versions of the directory's services.
func (s *streamTracker) observe(now time.Time, directory *site.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, versions := range directory.SoftwareVersions() {
		if s.histories[service] == nil {
			s.histories[service] = &endpoint.VersionHistory{IsComplete: s.isFirstStart}
		}
		s.histories[service].Observe(now, versions)
	}
}

// onlyVersion returns the version that has begun all streams of a service within a time before now, if there is just one. It returns false
// while the endpoints' entries can't be read, since other routers may know of further versions.
func (s *streamTracker) onlyVersion(service string, within time.Duration) (peer.StreamVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.histories[service]
	if readAt := s.state.DirectoryReadAt.Load(); history == nil || readAt != nil && time.Since(*readAt) > maxDirectoryAge {
		return peer.StreamVersion{}, false
	}
	version, ok := history.Only(time.Now(), within)
	return peer.StreamVersion{Service: service, Version: version}, ok
}

// run sends the versions of new streams to their keepers, and has the platform store them, until the context ends.
func (s *streamTracker) run(ctx context.Context) error {
	if s.store != nil {
		var writes sync.WaitGroup
		defer writes.Wait()
		writes.Go(func() { s.store.run(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.queued:
		}
		clock.Sleep(ctx, streamSendDelay)
		s.mu.Lock()
		queue := s.queue
		s.queue = nil
		s.mu.Unlock()
		if failed := s.send(ctx, queue); len(failed) > 0 {
			// The keepers that failed count as unresponsive now, so that others take their place.
			s.send(ctx, failed)
		}
	}
}

// send sends versions to the keepers of their streams, and returns those that not all keepers have received.
func (s *streamTracker) send(ctx context.Context, list []peer.StreamVersion) []peer.StreamVersion {
	batches := make(map[string]*streamBatch)
	for _, v := range list {
		for _, keeper := range s.keepers(v.Stream, streamKeepers) {
			if batches[keeper] == nil {
				batches[keeper] = &streamBatch{tracker: s, to: keeper}
			}
			batches[keeper].list = append(batches[keeper].list, v)
		}
	}
	var sends sync.WaitGroup
	for _, b := range batches {
		sends.Go(func() { b.run(ctx) })
	}
	sends.Wait()
	var failed []peer.StreamVersion
	for _, b := range batches {
		if b.hasFailed {
			failed = append(failed, b.list...)
		}
	}
	return failed
}

// streamBatch is a message with versions of streams to one keeper.
type streamBatch struct {
	tracker   *streamTracker
	to        string
	list      []peer.StreamVersion
	hasFailed bool
}

// run sends the message.
func (b *streamBatch) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	err := b.tracker.peers.SendVersions(ctx, b.to, b.list)
	b.hasFailed = err != nil
	b.tracker.recordCall(b.to, err)
}

// recordCall records whether another router answered.
func (s *streamTracker) recordCall(instance string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.unresponsiveAt, instance)
		return
	}
	s.unresponsiveAt[instance] = time.Now()
}

// keepers returns the first other routers in the order in which they keep the version of a stream, without those that did not answer
// within unresponsiveBackoff.
func (s *streamTracker) keepers(stream uint64, count int) []string {
	if s.peers == nil {
		return nil
	}
	ranked := s.rankedKeepers(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var chosen []string
	for _, instance := range ranked {
		if len(chosen) < count && instance != s.self && now.Sub(s.unresponsiveAt[instance]) > unresponsiveBackoff {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}

// rankedKeepers returns all routers in the order in which they keep the version of a stream.
func (s *streamTracker) rankedKeepers(stream uint64) []string {
	changes := s.roster.ChangeCount()
	bucket := endpoint.KeeperBucket(stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rankedAt != changes || s.ranked == nil {
		s.rankedAt, s.ranked = changes, make(map[uint64][]string)
	}
	if s.ranked[bucket] == nil {
		var instances []string
		for _, listed := range s.roster.Routers() {
			instances = append(instances, listed.Instance)
		}
		s.ranked[bucket] = endpoint.RankKeepers(bucket, instances)
	}
	return s.ranked[bucket]
}

// isAnyWriter reports whether this router writes the versions of any streams to the platform.
func (s *streamTracker) isAnyWriter() bool {
	for bucket := range uint64(endpoint.KeeperBuckets) {
		if s.isWriter(bucket, true) {
			return true
		}
	}
	return false
}

// lookUp returns the version of a stream that began within a time before now. If neither this router nor one of the stream's keepers
// remembers it, it returns the only version that has served in that time, as this router or else a keeper knows, unless the platform shows
// another one by now. It returns false if there were several, or nobody knows.
func (s *streamTracker) lookUp(ctx context.Context, stream uint64, service string, within time.Duration) (peer.StreamVersion, bool) {
	if known, ok := s.known(stream); ok {
		return known, true
	}
	if s.store != nil {
		s.store.waitUntilRestored(ctx)
		if known, ok := s.known(stream); ok {
			return known, true
		}
	}
	only, hasOnly := s.onlyVersion(service, within)
	asked := s.routersToAsk(stream)
	answers := make(chan streamAnswer, len(asked))
	for _, instance := range asked {
		q := &streamQuestion{tracker: s, to: instance, stream: stream, service: service, answers: answers}
		// A question that is cancelled would end the connection and with it other calls.
		go q.run(context.WithoutCancel(ctx))
	}
	for range asked {
		select {
		case <-ctx.Done():
			return peer.StreamVersion{}, false
		case a := <-answers:
			if a.isKnown && a.known.Stream == stream && stream != unnamedStream {
				return a.known, true
			}
			if a.isKnown && !hasOnly {
				only, hasOnly = a.known, true
			}
		}
	}
	if !hasOnly || !s.isStillOnly(ctx, only) {
		return peer.StreamVersion{}, false
	}
	return only, true
}

// isStillOnly reports whether no other version of the service has begun to serve since the directory was read. A router that can't tell declines to
// infer a version.
func (s *streamTracker) isStillOnly(ctx context.Context, only peer.StreamVersion) bool {
	entries, err := s.newer.read(ctx)
	if err != nil {
		s.state.Count(streamVersionUnconfirmed)
		return false
	}
	return !slices.ContainsFunc(entries, func(e site.Endpoint) bool { return e.Service == only.Service && e.SoftwareVersion != only.Version })
}

// routersToAsk returns the routers that may know the version of a stream. Those that store it are included even if they were unresponsive: after
// the loss of all routers nobody else knows it.
func (s *streamTracker) routersToAsk(stream uint64) []string {
	asked := s.keepers(stream, maxStreamLookups)
	if s.peers == nil {
		return asked
	}
	ranked := s.rankedKeepers(stream)
	for _, writer := range ranked[:min(streamWriters, len(ranked))] {
		if writer != s.self && !slices.Contains(asked, writer) {
			asked = append(asked, writer)
		}
	}
	return asked
}

// streamAnswer is another router's answer to a streamQuestion.
type streamAnswer struct {
	known   peer.StreamVersion
	isKnown bool
}

// streamQuestion asks another router for the version of a stream.
type streamQuestion struct {
	tracker *streamTracker
	to      string
	stream  uint64
	service string
	answers chan<- streamAnswer
}

// run asks and passes the answer on.
func (q *streamQuestion) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, streamCallTimeout)
	defer cancel()
	known, isKnown, err := q.tracker.peers.FetchVersion(ctx, q.to, q.stream, q.service)
	q.tracker.recordCall(q.to, err)
	q.answers <- streamAnswer{known, isKnown && err == nil}
}

// bindToVersion binds a request that resumes a stream to the service and the software version that began it. It refuses the
// request if these are not known, or serve no more.
func (j *job) bindToVersion(ctx context.Context) error {
	if j.r.Header.Get(j.server.protocol.ResumeAfter) == "" || !j.isResumableStream() {
		return nil
	}
	directory := j.server.state.Directory.Load()
	j.server.streams.observe(time.Now(), directory)
	if !j.hasVersions(directory) {
		return nil
	}
	known, ok := j.server.streams.lookUp(ctx, j.resumedStream(), j.service, j.longestResumption())
	// An entry that was applied meanwhile is in the newest directory.
	directory = j.server.state.Directory.Load()
	isInferred := known.Stream == unnamedStream || known.Stream != j.resumedStream()
	if !ok || isInferred && (len(j.route.Services) > 1 || len(directory.SoftwareVersions()[j.service]) > 1) {
		return verdict.Refuse(verdict.StreamVersionUnknown, "")
	}
	j.setService(j.server.state.Configuration.Load(), known.Service)
	j.bound = boundVersion{version: known.Version, isBound: true}
	isRouted := slices.ContainsFunc(j.route.Services, func(w site.WeightedService) bool { return w.Service == known.Service })
	if !isRouted || !slices.Contains(directory.SoftwareVersions()[known.Service], known.Version) {
		return verdict.Refuse(verdict.StreamVersionGone, "")
	}
	return nil
}

// longestResumption returns how long after the begin of a stream its caller may resume it.
func (j *job) longestResumption() time.Duration {
	if j.route.Timeout > 0 {
		return min(endpoint.StreamMemory, j.route.Timeout+resumptionMargin)
	}
	return endpoint.StreamMemory
}

// isResumableStream reports whether the request is for a stream that may be resumed.
func (j *job) isResumableStream() bool { return j.isStream() && j.route.Resumable }

// hasVersions reports whether any endpoint of the route's services has a software version.
func (j *job) hasVersions(directory *site.Directory) bool {
	versions := directory.SoftwareVersions()
	return slices.ContainsFunc(j.route.Services, func(w site.WeightedService) bool {
		return slices.ContainsFunc(versions[w.Service], func(version string) bool { return version != "" })
	})
}

// resumedStream returns the key of the stream that the caller resumes.
func (j *job) resumedStream() uint64 { return streamKey(j.teamName(), j.resumedIdentifier()) }

func (j *job) teamName() string {
	if j.team == nil {
		return ""
	}
	return j.team.Name
}

// bindToEndpoint binds the stream to the software version of the endpoint that brings its events. Other routers learn of it once the
// first event is complete, also of a stream that the caller has resumed, so that it may be resumed again.
func (j *job) bindToEndpoint(e *target) {
	if j.isVersionKept || j.events.Completed() == 0 || !j.isResumableStream() {
		return
	}
	j.isVersionKept = true
	j.bound = boundVersion{version: e.SoftwareVersion, isBound: true}
	if e.SoftwareVersion == "" {
		return
	}
	stream := streamKey(j.teamName(), j.callerIdentifier())
	if j.r.Header.Get(j.server.protocol.ResumeAfter) != "" {
		stream = j.resumedStream()
	}
	if stream != unnamedStream {
		j.server.streams.record(peer.StreamVersion{Stream: stream, Service: j.service, Version: e.SoftwareVersion})
	}
}
