package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// record is one record of a keyed topic. An empty value drops the key.
type record struct {
	key   string
	value []byte
}

type appendKey struct {
	producer        string
	epoch, sequence int64
}

type partition struct {
	mu       sync.Mutex
	records  []record
	changed  chan struct{}
	epochs   map[string]int64
	last     map[string]int64
	answers  map[appendKey]int64
	appendMu sync.Mutex
}

// store is a stand-in of the platform's metadata store: append, read and newest of keyed topics.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// appendTime is how long an append takes; a partition processes its appends one at a time.
	appendTime time.Duration
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, appendTime: 4 * time.Millisecond}
}

func (s *store) part(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + part
	p := s.parts[name]
	if p == nil {
		p = &partition{changed: make(chan struct{}), epochs: map[string]int64{}, last: map[string]int64{}, answers: map[appendKey]int64{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) add(records []record) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes one record in the name of the operator or of a worker.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	p := s.part(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add([]record{{key, data}})
}

// newestOf returns the newest value of a key, or nil.
func (s *store) newestOf(topic, key string) []byte {
	p := s.part(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	var value []byte
	for _, r := range p.records {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, p)
	case "/v1/log-read":
		s.read(w, r, p)
	case "/v1/log-newest":
		s.newest(w, r, p)
	default:
		http.NotFound(w, r)
	}
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, p *partition) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	if t := q.Get("topic"); t == "keyed.op" || t == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) || n < 1 || int(body[0]) >= n {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		k := int(body[0])
		records = append(records, record{string(body[1 : 1+k]), append([]byte(nil), body[1+k:n]...)})
		body = body[n:]
	}
	p.appendMu.Lock()
	time.Sleep(s.appendTime)
	defer p.appendMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	key := appendKey{q.Get("producer"), number(q.Get("epoch")), number(q.Get("sequence"))}
	if q.Has("producer") {
		if at, ok := p.answers[key]; ok {
			answer(w, http.StatusOK, map[string]any{"offset": at, "end": len(p.records)})
			return
		}
		epoch, known := p.epochs[key.producer]
		switch {
		case known && key.epoch < epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case known && key.epoch == epoch && key.sequence != p.last[key.producer]+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.last[key.producer] + 1})
			return
		}
	}
	if q.Has("at") && number(q.Get("at")) != int64(len(p.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	at := int64(len(p.records))
	if q.Has("producer") {
		p.epochs[key.producer], p.last[key.producer], p.answers[key] = key.epoch, key.sequence, at
	}
	p.add(records)
	answer(w, http.StatusOK, map[string]any{"offset": at, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, p *partition) {
	q := r.URL.Query()
	from, wait := number(q.Get("from")), time.Duration(number(q.Get("wait_ms")))*time.Millisecond
	limit := 1024
	if q.Has("max_kb") {
		limit = int(number(q.Get("max_kb")))
	}
	deadline := time.After(wait)
	for {
		p.mu.Lock()
		end, changed := int64(len(p.records)), p.changed
		var found []record
		if from < end {
			found = p.records[from:end]
		}
		p.mu.Unlock()
		timedOut := wait == 0
		if len(found) == 0 && !timedOut {
			select {
			case <-changed:
				continue
			case <-deadline:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i, rec := range found {
			if i > 0 && len(out) > limit<<10 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
			out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, p *partition) {
	p.mu.Lock()
	newest := map[string]int{}
	for i, rec := range p.records {
		newest[rec.key] = i
		if len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	var keys []string
	after := r.URL.Query().Get("after")
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []map[string]any{}
	for _, k := range keys {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(p.records[newest[k]].value), "offset": newest[k]})
	}
	end := len(p.records)
	p.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
