package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type machine struct {
	name   string
	worker *Worker
	state  string // up or upkeep
	epoch  int64  // highest epoch number that an order for it has carried
	done   map[int64]bool
	lives  int
}

// Cloud is the platform's service that lists machines and does their upkeep.
type Cloud struct {
	lab *Lab

	mu       sync.Mutex
	machines []*machine
	// members and caps hold the machines of each wave and its limit.
	members map[int64]map[string]bool
	caps    map[int64]int
	// late, if not nil, returns how long after its arrival an unanswered order is carried out, or zero for an
	// order that is carried out and answered at once.
	late func(machine string) time.Duration
}

func newCloud(lab *Lab) *Cloud {
	return &Cloud{lab: lab, members: map[int64]map[string]bool{}, caps: map[int64]int{}}
}

func (c *Cloud) add(w *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{name: fmt.Sprintf("m-%d", len(c.machines)), worker: w, state: "up", done: map[int64]bool{}})
}

// Wave asks for the upkeep of machines.
func (c *Cloud) Wave(number int64, names []string, within time.Duration, most int) {
	c.mu.Lock()
	c.members[number] = map[string]bool{}
	for _, n := range names {
		c.members[number][n] = true
	}
	c.caps[number] = most
	c.mu.Unlock()
	value, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "within_s": within.Seconds(), "cap": most})
	c.lab.record("wave %d asked for: machines %v, cap %d, within %v", number, names, most, within)
	c.lab.store.Put("keyed.op", fmt.Sprintf("wave/%d", number), value)
}

// Done returns how many machines of a wave have had their upkeep and are up.
func (c *Cloud) Done(number int64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.done[number] && m.state == "up" {
			n++
		}
	}
	return n
}

// Begun returns how many machines of a wave have begun their upkeep.
func (c *Cloud) Begun(number int64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.done[number] {
			n++
		}
	}
	return n
}

// ServeHTTP lists the machines and takes orders.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/machines":
		c.list(w)
	case "POST /v1/machine-upkeep":
		var o struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		epoch, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
		holder := r.Header.Get("Duty-Holder")
		c.mu.Lock()
		delay := time.Duration(0)
		if c.late != nil {
			delay = c.late(o.Machine)
		}
		c.mu.Unlock()
		if delay > 0 {
			c.lab.record("order from %s, epoch %d: upkeep of %s gets no answer and is carried out %v later", holder, epoch, o.Machine, delay)
			time.AfterFunc(delay, func() { c.upkeep(o.Machine, o.Wave, epoch, holder) })
			<-r.Context().Done()
			return
		}
		status, reason := c.upkeep(o.Machine, o.Wave, epoch, holder)
		answer(w, status, map[string]any{"reason": reason})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func (c *Cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := []map[string]any{}
	for _, m := range c.machines {
		m.worker.mu.Lock()
		all = append(all, map[string]any{
			"machine": m.name, "pool": serviceName, "state": m.state, "zone": m.worker.zone, "labels": []string{m.worker.kind, m.worker.rack},
			"capacity": m.worker.capacity, "id": m.worker.id,
		})
		m.worker.mu.Unlock()
	}
	answer(w, http.StatusOK, map[string]any{"machines": all})
}

// upkeep carries out an order and checks the limit of the wave.
func (c *Cloud) upkeep(name string, wave, epoch int64, holder string) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var m *machine
	for _, o := range c.machines {
		if o.name == name {
			m = o
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case epoch < m.epoch:
		c.lab.record("order from %s, epoch %d: upkeep of %s refused (fence)", holder, epoch, name)
		return http.StatusConflict, "fence"
	}
	m.epoch = epoch
	switch {
	case !c.members[wave][name]:
		return http.StatusConflict, "wave"
	case m.done[wave]:
		return http.StatusOK, "" // done, or under way
	}
	down := 0
	for _, o := range c.machines {
		if o.state == "upkeep" && o.done[wave] {
			down++
		}
	}
	c.lab.record("order from %s, epoch %d: upkeep of %s begins, %d others of the wave are down for theirs", holder, epoch, name, down)
	if down >= c.caps[wave] {
		c.lab.audit.Breaks("LIMIT", "the upkeep of %s begins while %d machines of wave %d are down for theirs, with cap %d", name, down, wave, c.caps[wave])
	}
	m.done[wave], m.state = true, "upkeep"
	m.lives++
	id := fmt.Sprintf("%s-%d", m.worker.id, m.lives)
	m.worker.mu.Lock()
	for _, r := range m.worker.running {
		c.lab.audit.endsByOrder(m.worker, r)
	}
	m.worker.mu.Unlock()
	m.worker.Crash()
	m.worker.lab.store.Put("keyed.servers", m.worker.id, nil)
	time.AfterFunc(maintenance, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.worker.mu.Lock()
		m.worker.id = id
		m.worker.mu.Unlock()
		m.worker.Start()
		m.state = "up"
		c.lab.record("machine %s is up again", name)
	})
	return http.StatusOK, ""
}
