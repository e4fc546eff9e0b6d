// Package catalog holds the operators' configuration in force, as entry hosts use it: queues,
// organisations, their API keys and request limits. The configuration of gates and schedulers is
// in package config.
package catalog

import (
	"net"
	"strings"
	"time"
)

// Advice describes how the advisory service of a queue answers.
type Advice struct {
	// Decision and PerItem are the times configured for a decision and for each item.
	Decision time.Duration
	PerItem  time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}

// Queue accepts jobs that run on the workers of one service.
type Queue struct {
	Name string
	// Host and Prefix are the host name and the path prefix of the requests to the queue.
	Host    string
	Prefix  string
	Service string
	// Priority is the priority of the queue's jobs; 0 is the highest.
	Priority int
	// Attempts limits the failed runs of a task, or of a gang as a whole.
	Attempts int
	// Stretch and Objective define the latency objective of a job: Stretch times the
	// duration of its work, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Public queues require no API key.
	Public bool
	// Advice is nil if the queue uses no advisory service.
	Advice *Advice
}

// Organisation is a customer with its API keys and its guaranteed accelerators.
type Organisation struct {
	Name string
	Keys []string
	// Accelerators is the number of accelerators that the organisation can always reclaim.
	Accelerators int64
}

// Limits holds the limits of a request.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
}

// Catalog is one version of the operators' configuration.
type Catalog struct {
	Version       int64
	Queues        []Queue
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Queue
	byKey  map[string]string
}

// Index builds the lookup tables by host and by key and returns c. The decoder of a catalog calls
// it once.
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

// Find returns the queue of the host whose prefix is the longest match for the path, and the rest
// of the path after that prefix. It ignores a port in host.
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

// OrganisationOf returns the name of the organisation that an API key belongs to.
func (c *Catalog) OrganisationOf(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}

// Guarantees returns the number of guaranteed accelerators of each organisation.
func (c *Catalog) Guarantees() map[string]int64 {
	g := make(map[string]int64, len(c.Organisations))
	for _, o := range c.Organisations {
		g[o.Name] = o.Accelerators
	}
	return g
}
