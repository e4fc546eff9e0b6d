package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log of keyed topics as PROTOCOL.md
// describes it. It keeps all records, which the retention allows within a run of 120 seconds.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// lose, if set, decides for an append of the system whether it stays unanswered and how long
	// after its arrival it is executed.
	lose func(topic string, part int, records []record) (time.Duration, bool)
	// writes and lost count the appends of the system, and those that stayed unanswered.
	writes, lost int
}

type record struct {
	key   string
	value []byte
}

type partition struct {
	// turn is held during an append: a partition executes one at a time.
	turn      sync.Mutex
	mu        sync.Mutex
	records   []record
	changed   chan struct{}
	producers map[string]*producerState
}

type producerState struct {
	epoch, next int64
	last        []appendResult
}

type appendResult struct{ sequence, offset, end int64 }

const (
	appendTime   = 4 * time.Millisecond
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

func newStore() *store { return &store{parts: map[string]*partition{}} }

func (s *store) partition(topic string, part int) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + strconv.Itoa(part)
	p := s.parts[name]
	if p == nil {
		p = &partition{changed: make(chan struct{}), producers: map[string]*producerState{}}
		s.parts[name] = p
	}
	return p
}

// put writes a record of the operator or of a worker. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.partition(topic, 0).append([]record{{key, value}}, -1, "", 0, 0)
}

// append executes an append; at is negative without that condition, and producer empty without a
// fence.
func (p *partition) append(records []record, at int64, producer string, epoch, sequence int64) (int, map[string]any) {
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(appendTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	end := int64(len(p.records))
	var state *producerState
	if producer != "" {
		state = p.producers[producer]
		if state == nil {
			state = &producerState{epoch: -1}
			p.producers[producer] = state
		}
		switch {
		case epoch < state.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case epoch == state.epoch:
			for _, r := range state.last {
				if r.sequence == sequence {
					return http.StatusOK, map[string]any{"offset": r.offset, "end": r.end}
				}
			}
			if sequence != state.next {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": state.next}
			}
		}
	}
	if at >= 0 && at != end {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	p.records = append(p.records, records...)
	newEnd := int64(len(p.records))
	if state != nil {
		if epoch > state.epoch {
			state.epoch, state.last = epoch, nil
		}
		state.next = sequence + 1
		state.last = append(state.last, appendResult{sequence, end, newEnd})
		if len(state.last) > 5 {
			state.last = state.last[1:]
		}
	}
	if len(records) > 0 {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return http.StatusOK, map[string]any{"offset": end, "end": newEnd}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	part, _ := strconv.Atoi(q.Get("part"))
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/log-append":
		s.handleAppend(w, r, topic, part)
	case "GET /v1/log-read":
		s.handleRead(w, r, topic, part)
	case "GET /v1/log-newest":
		s.handleNewest(w, r, topic, part)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, topic string, part int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		answerJSON(w, http.StatusForbidden, map[string]any{})
		return
	}
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || int(body[4])+1 > n {
			answerJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		k := int(body[4])
		records = append(records, record{string(body[5 : 5+k]), slices.Clone(body[5+k : 4+n])})
		body = body[4+n:]
	}
	q := r.URL.Query()
	at := int64(-1)
	if q.Has("at") {
		at, _ = strconv.ParseInt(q.Get("at"), 10, 64)
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	p := s.partition(topic, part)
	s.mu.Lock()
	s.writes++
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if delay, ok := lose(topic, part, records); ok {
			s.mu.Lock()
			s.lost++
			s.mu.Unlock()
			time.AfterFunc(delay, func() { p.append(records, at, q.Get("producer"), epoch, sequence) })
			<-r.Context().Done() // no answer: the caller gives up
			return
		}
	}
	status, answer := p.append(records, at, q.Get("producer"), epoch, sequence)
	answerJSON(w, status, answer)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic string, part int) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	p := s.partition(topic, part)
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		p.mu.Lock()
		if from < int64(len(p.records)) || wait <= 0 {
			break
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
	end := int64(len(p.records))
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i >= 0 && i < end; i++ {
		rec := p.records[i]
		if i > from && len(out)+5+len(rec.key)+len(rec.value) > maxKB<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request, topic string, part int) {
	after := r.URL.Query().Get("after")
	p := s.partition(topic, part)
	p.mu.Lock()
	newest := map[string]int{}
	for i, rec := range p.records {
		newest[rec.key] = i
	}
	var keys []string
	for k, i := range newest {
		if len(p.records[i].value) > 0 && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := p.records[newest[k]]
		size += len(rec.value)
		if len(items) >= maxPageItems || len(items) > 0 && size > maxPageBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": newest[k]})
	}
	end := len(p.records)
	p.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// hasKey reports whether a record's key begins with the prefix.
func hasKey(records []record, prefix string) bool {
	return slices.ContainsFunc(records, func(r record) bool { return strings.HasPrefix(r.key, prefix) })
}
