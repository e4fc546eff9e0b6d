package main

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key   string
	value []byte
}

// producerState is what the store remembers of the fenced appends to one partition.
type producerState struct {
	epoch    int64
	sequence int64
	answers  map[int64][2]int64 // offset and end of the last five appends, by sequence
}

type partition struct {
	records  []storeRecord
	newest   map[string]int64 // offset of the newest record of each key that has a value
	producer producerState
	changed  chan struct{}
}

// Store is the platform's metadata store: a log with keyed topics. Nothing expires in the two minutes
// of a script.
type Store struct {
	lab *Lab

	mu         sync.Mutex
	partitions map[string]*partition
	// lastConditional is the host that last appended under a condition, and conditionalAt when.
	lastConditional string
	conditionalAt   time.Time
}

func newStore(lab *Lab) *Store { return &Store{lab: lab, partitions: map[string]*partition{}} }

func (s *Store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]int64{}, changed: make(chan struct{})}
		s.partitions[key] = p
	}
	return p
}

func (p *partition) append(records []storeRecord) (offset int64) {
	offset = int64(len(p.records))
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = int64(len(p.records))
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

// Put writes a record on behalf of the operator or of a worker. A nil value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").append([]storeRecord{{key, value}})
}

// Get returns the newest value of a key in partition 0 of a topic.
func (s *Store) Get(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	if at, ok := p.newest[key]; ok {
		return p.records[at].value
	}
	return nil
}

// Leader returns the host that last appended under a condition, and when.
func (s *Store) Leader() (string, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional, s.conditionalAt
}

// handler serves the store to one host.
func (s *Store) handler(host string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.serveAppend(w, r, host) })
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	return mux
}

func decodeRecords(body []byte) ([]storeRecord, bool) {
	var out []storeRecord
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n, k := int(binary.BigEndian.Uint32(body)), int(body[4])
		if n < 1+k || len(body) < 4+n {
			return nil, false
		}
		out = append(out, storeRecord{string(body[5 : 5+k]), append([]byte(nil), body[5+k:4+n]...)})
		body = body[4+n:]
	}
	return out, true
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, host string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	records, ok := decodeRecords(body)
	if !ok {
		answer(w, http.StatusBadRequest, map[string]any{"reason": "bad"})
		return
	}
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	end := int64(len(p.records))
	if q.Has("producer") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		switch st := &p.producer; {
		case epoch < st.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == st.epoch:
			if a, repeated := st.answers[sequence]; repeated {
				answer(w, http.StatusOK, map[string]any{"offset": a[0], "end": a[1]})
				return
			}
			if sequence != st.sequence+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": st.sequence + 1})
				return
			}
		}
		if q.Has("at") && q.Get("at") != strconv.FormatInt(end, 10) {
			answer(w, http.StatusPreconditionFailed, map[string]any{"end": end})
			return
		}
		if epoch > p.producer.epoch {
			p.producer = producerState{epoch: epoch, answers: map[int64][2]int64{}}
		}
		p.producer.sequence = sequence
		p.producer.answers[sequence] = [2]int64{end, end + int64(len(records))}
		delete(p.producer.answers, sequence-5)
		s.lastConditional, s.conditionalAt = host, time.Now()
	}
	offset := p.append(records)
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": int64(len(p.records))})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		changed := p.changed
		if from < len(p.records) || wait == 0 {
			var body []byte
			body = binary.BigEndian.AppendUint64(body, uint64(len(p.records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < len(p.records) && len(body) < 100<<10; i++ {
				rec := p.records[i]
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(rec.value)))
				body = append(append(append(body, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body) // a host that is gone reads again
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// pageItems is the most records that one page of newest records holds.
const pageItems = 500

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := []map[string]any{}
	for _, k := range keys {
		at := p.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(p.records[at].value), "offset": at})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}
