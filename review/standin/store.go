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

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// pageRecords is the number of records in a page of newest records.
const pageRecords = 500

// store is a stand-in of the platform's store in its form "log".
type store struct {
	mu sync.Mutex
	// losesAnswer reports whether the answer to a router's append to a topic is lost; nil loses none.
	losesAnswer func(router, topic string) bool
	servers     []*http.Server
	partitions  map[string]*partition
}

type keyedRecord struct {
	key    string
	value  []byte
	offset int64
}

type partition struct {
	records []keyedRecord
	newest  map[string]keyedRecord
	changed chan struct{}
}

func newStore() *store { return &store{partitions: map[string]*partition{}} }

// listen returns an address at which the store serves a router.
func (s *store) listen(router string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, router) })}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// setLosses sets which answers are lost; nil for none.
func (s *store) setLosses(losesAnswer func(router, topic string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesAnswer = losesAnswer
}

// partitionLocked returns a partition of a topic.
func (s *store) partitionLocked(topic string, number int) *partition {
	key := topic + "/" + strconv.Itoa(number)
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]keyedRecord{}, changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

func (p *partition) append(key string, value []byte) {
	r := keyedRecord{key: key, value: value, offset: int64(len(p.records))}
	p.records = append(p.records, r)
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = r
	}
}

func (p *partition) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// put appends a record as the operator and the runners do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionLocked(topic, 0)
	p.append(key, value)
	p.signal()
}

// newestOf returns the newest values of a topic in all partitions.
func (s *store) newestOf(topic string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string][]byte{}
	for name, p := range s.partitions {
		if strings.HasPrefix(name, topic+"/") {
			for key, r := range p.newest {
				found[key] = r.value
			}
		}
	}
	return found
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, router string) {
	query := r.URL.Query()
	topic := query.Get("topic")
	number, _ := strconv.Atoi(query.Get("part"))
	switch r.URL.Path {
	case "/api/log-newest":
		time.Sleep(storeAnswerTime)
		s.serveNewest(w, topic, number, query.Get("after"))
	case "/api/log-read":
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		time.Sleep(storeAnswerTime)
		s.serveRead(w, r, topic, number, from, time.Duration(wait)*time.Millisecond)
	case "/api/log-append":
		s.serveAppend(w, r, router, topic, number, query.Get("at"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic string, number int, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has-more"`
		End   int64  `json:"end-offset"`
	}{Items: []item{}}
	s.mu.Lock()
	p := s.partitionLocked(topic, number)
	page.End = int64(len(p.records))
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > pageRecords {
		keys, page.More = keys[:pageRecords], true
	}
	for _, key := range keys {
		r := p.newest[key]
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(r.value), r.offset})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, number int, from int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		p := s.partitionLocked(topic, number)
		end := int64(len(p.records))
		changed := p.changed
		var body []byte
		if from < end || isOver {
			body = binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range p.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
				body = append(body, byte(len(record.key)))
				body = append(body, record.key...)
				body = append(body, record.value...)
			}
		}
		s.mu.Unlock()
		if body != nil {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, router, topic string, number int, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	p := s.partitionLocked(topic, number)
	status, offset := http.StatusOK, int64(len(p.records))
	if at != "" && at != strconv.FormatInt(offset, 10) {
		status = http.StatusPreconditionFailed
	} else {
		for len(body) >= 5 {
			length := int(binary.BigEndian.Uint32(body))
			record := body[4 : 4+length]
			keyEnd := 1 + int(record[0])
			p.append(string(record[1:keyEnd]), slices.Clone(record[keyEnd:]))
			body = body[4+length:]
		}
		p.signal()
	}
	end := int64(len(p.records))
	isLost := s.losesAnswer != nil && status == http.StatusOK && s.losesAnswer(router, topic)
	s.mu.Unlock()
	if isLost {
		// The channel returns nothing further.
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end-offset": end})
}
