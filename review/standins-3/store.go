package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the platform's store, from the sheets of the small deployments.
const storeDelay = 4 * time.Millisecond

// Store is a stand-in of the platform's store: the log calls of PROTOCOL.md that the system uses.
type Store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	server  *http.Server
	Address string
}

// partition holds all records of one partition, and the offset of the newest one of each key.
type partition struct {
	records [][]byte
	newest  map[string]int
}

// NewStore listens on an IP address and serves.
func NewStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{parts: make(map[string]*partition), changed: make(chan struct{}), Address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *Store) Close() { _ = s.server.Close() }

func (s *Store) partLocked(topic, number string) *partition {
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &partition{newest: make(map[string]int)}
	}
	return s.parts[name]
}

// keyOf returns the key of a record of a keyed topic, and whether the record has a value.
func keyOf(record []byte) (key string, hasValue bool) {
	n := int(record[0])
	return string(record[1 : 1+n]), len(record) > 1+n
}

func (s *Store) appendLocked(topic, number string, records [][]byte) {
	p := s.partLocked(topic, number)
	for _, r := range records {
		if strings.HasPrefix(topic, "keyed.") {
			if key, ok := keyOf(r); ok {
				p.newest[key] = len(p.records)
			} else {
				delete(p.newest, key)
			}
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a record under a key, as the operator and the runners do. An empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, "0", [][]byte{slices.Concat([]byte{byte(len(key))}, []byte(key), value)})
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	query := r.URL.Query()
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.partLocked(topic, query.Get("part")).records)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(end) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end-offset": end})
		return
	}
	s.appendLocked(topic, query.Get("part"), records)
	answer(w, http.StatusOK, map[string]any{"offset": end, "end-offset": end + len(records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	time.Sleep(storeDelay)
	for isLast := wait == 0; ; {
		s.mu.Lock()
		p, changed := s.partLocked(query.Get("topic"), query.Get("part")), s.changed
		var encoded []byte
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(len(p.records)))
		encoded = binary.BigEndian.AppendUint64(encoded, 0)
		for _, record := range p.records[min(from, len(p.records)):] {
			encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(record)))
			encoded = append(encoded, record...)
		}
		hasNew := len(p.records) > from
		s.mu.Unlock()
		if hasNew || isLast {
			_, _ = w.Write(encoded)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partLocked(query.Get("topic"), query.Get("part"))
	items := []map[string]any{}
	for key, offset := range p.newest {
		record := p.records[offset]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record[1+len(key):]), "offset": offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end-offset": len(p.records)})
}

func answer(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}
