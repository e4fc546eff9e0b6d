// Package catalog holds what the operators have in force: queues, organisations and
// their keys.
package catalog

import (
	"net"
	"strings"
	"time"
)

// Advice says how the advisory service of a queue answers.
type Advice struct {
	Decision time.Duration
	PerItem  time.Duration
	Validity time.Duration
}

// Queue takes jobs for the workers of one service.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Priority int
	// Attempts bounds the failed runs of a task.
	Attempts int
	// Stretch and Objective give the latency objective: Stretch times the work, and
	// Objective more.
	Stretch   float64
	Objective time.Duration
	// Public queues ask for no key.
	Public bool
	Advice *Advice
}

// Organisation is a customer with its keys and what it owns.
type Organisation struct {
	Name string
	Keys []string
	// Accelerators is what the organisation can always reclaim.
	Accelerators int64
}

// Limits bound a request.
type Limits struct {
	BodyBytes int64
}

// Catalog is one version of what is in force.
type Catalog struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Queue
	byKey  map[string]string
}

// Index prepares the look-ups; it is called once, by who decodes a catalog.
func (c *Catalog) Index() *Catalog {
	c.byHost, c.byKey = map[string][]*Queue{}, map[string]string{}
	for i := range c.Queues {
		q := &c.Queues[i]
		host := strings.ToLower(q.Host)
		c.byHost[host] = append(c.byHost[host], q)
	}
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.byKey[k] = o.Name
		}
	}
	return c
}

// Find returns the queue of a request and the rest of its path.
func (c *Catalog) Find(host, path string) (q *Queue, rest string, ok bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, candidate := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, candidate.Prefix) && (q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// OrganisationOf returns the organisation that holds a key.
func (c *Catalog) OrganisationOf(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}

// Guarantees returns the accelerators that each organisation owns.
func (c *Catalog) Guarantees() map[string]int64 {
	g := make(map[string]int64, len(c.Organisations))
	for _, o := range c.Organisations {
		g[o.Name] = o.Accelerators
	}
	return g
}
