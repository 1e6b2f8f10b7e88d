package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in for the platform's metadata store: the calls log-append, log-read and log-newest of PROTOCOL.md. It
// answers each call after answerTime, keeps historyTime of records, and the newest record of each key for good.
type store struct {
	address  string
	listener net.Listener

	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{}
	// channels are the open channels of the machines.
	channels map[*channel]struct{}
}

type partition struct {
	// first is the offset of the first record that is still in the history.
	first   int64
	records []storedRecord
	newest  map[string]storedRecord
	// busy makes the partition process its appends one at a time.
	busy sync.Mutex
}

type storedRecord struct {
	key     string
	value   []byte
	offset  int64
	written time.Time
}

const (
	answerTime  = 4 * time.Millisecond
	appendTime  = 2 * time.Millisecond
	historyTime = 20 * time.Second
	pageSize    = 500
	readBytes   = 1 << 20
)

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), listener: listener,
		partitions: make(map[string]*partition), changed: make(chan struct{}), channels: make(map[*channel]struct{}),
	}
	go func() { _ = http.Serve(&channelListener{Listener: listener, store: s}, s) }()
	return s, nil
}

// channel is a machine's channel to the store. Once it is silent, nothing passes in either direction, and neither end is told.
type channel struct {
	net.Conn

	store    *store
	isSilent atomic.Bool
}

// Read implements net.Conn.
func (c *channel) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *channel) Write(p []byte) (int, error) {
	if c.isSilent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *channel) Close() error {
	c.store.mu.Lock()
	delete(c.store.channels, c)
	c.store.mu.Unlock()
	return c.Conn.Close()
}

type channelListener struct {
	net.Listener

	store *store
}

// Accept implements net.Listener.
func (l *channelListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &channel{Conn: accepted, store: l.store}
	l.store.mu.Lock()
	l.store.channels[c] = struct{}{}
	l.store.mu.Unlock()
	return c, nil
}

// silenceChannels makes all open channels silent for good, and returns their number. New ones work.
func (s *store) silenceChannels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.channels {
		c.isSilent.Store(true)
	}
	return len(s.channels)
}

func (s *store) partitionLocked(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: make(map[string]storedRecord)}
		s.partitions[name] = p
	}
	limit := time.Now().Add(-historyTime)
	for len(p.records) > 0 && p.records[0].written.Before(limit) {
		p.records, p.first = p.records[1:], p.first+1
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// put writes a record as the operator and the runners do, and returns the time of the store's acknowledgement.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(s.partitionLocked(topic+"/0"), []storedRecord{{key: key, value: value}})
	return time.Now()
}

func (s *store) putJSON(topic, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(topic, key, encoded)
}

func (s *store) appendLocked(p *partition, records []storedRecord) {
	for _, r := range records {
		r.offset, r.written = p.end(), time.Now()
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	query := r.URL.Query()
	name := query.Get("topic") + "/" + query.Get("part")
	var status int
	var answer []byte
	switch r.URL.Path {
	case "/api/log-append":
		status, answer = s.append(name, query.Get("at"), query.Has("at"), body)
	case "/api/log-read":
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		status, answer = s.read(r, name, from, time.Duration(min(wait, 30_000))*time.Millisecond)
	case "/api/log-newest":
		status, answer = s.listNewest(name, query.Get("after"))
	default:
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (s *store) append(name, at string, isConditional bool, body []byte) (int, []byte) {
	var records []storedRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || 4+n > len(body) || 1+int(body[4]) > n {
			return http.StatusBadRequest, nil
		}
		content := body[4 : 4+n]
		keyEnd := 1 + int(content[0])
		records = append(records, storedRecord{key: string(content[1:keyEnd]), value: append([]byte(nil), content[keyEnd:]...)})
		body = body[4+n:]
	}
	s.mu.Lock()
	p := s.partitionLocked(name)
	s.mu.Unlock()
	p.busy.Lock()
	defer p.busy.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset, err := strconv.ParseInt(at, 10, 64); isConditional && (err != nil || offset != p.end()) {
		return http.StatusPreconditionFailed, endOffset(p, 0)
	}
	first := p.end()
	s.appendLocked(p, records)
	return http.StatusOK, endOffset(p, first)
}

func endOffset(p *partition, first int64) []byte {
	encoded, _ := json.Marshal(map[string]int64{"offset": first, "end-offset": p.end()})
	return encoded
}

func (s *store) read(r *http.Request, name string, from int64, wait time.Duration) (int, []byte) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		p, changed := s.partitionLocked(name), s.changed
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			encoded, _ := json.Marshal(map[string]int64{"first-offset": first})
			return http.StatusGone, encoded
		}
		if from < p.end() || isOver {
			answer := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			answer = binary.BigEndian.AppendUint64(answer, uint64(p.first))
			for i := max(0, from-p.first); i < int64(len(p.records)) && len(answer) < readBytes; i++ {
				record := p.records[i]
				answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(record.key)+len(record.value)))
				answer = append(answer, byte(len(record.key)))
				answer = append(append(answer, record.key...), record.value...)
			}
			s.mu.Unlock()
			return http.StatusOK, answer
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) listNewest(name, after string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionLocked(name)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > pageSize
	if hasMore {
		keys = keys[:pageSize]
	}
	items := []map[string]any{}
	for _, key := range keys {
		record := p.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	encoded, _ := json.Marshal(map[string]any{"items": items, "has-more": hasMore, "end-offset": p.end()})
	return http.StatusOK, encoded
}
