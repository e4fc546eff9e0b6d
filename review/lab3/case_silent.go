package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = silentCase }

// withdrawnKey is a second key of the tenant, which version 3 of the manifest no longer holds.
const withdrawnKey = "key-two"

// silentCase: all open channels to the store go silent; new ones work. Then a manifest withdraws a key. From
// stable_window_ms (3 s) after the channels went silent, the hosts are in touch, and config_apply_ms (2 s)
// after its acknowledgement the manifest has to be in force.
func silentCase(l *lab) {
	l.durationOf = func(string) (time.Duration, bool) { return 300 * time.Millisecond, true }
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey, withdrawnKey}, nil))
	l.addWorker("w-1", "a", "r1", 8)
	l.addWorker("w-2", "a", "r2", 8)
	proxies := map[string]*proxy{}
	l.startHosts(3, func(name string) string {
		proxies[name] = l.addProxy(l.storeAddress)
		return proxies[name].address
	})
	// Usual traffic, in which requests meet now and then.
	for round := range 4 {
		var clients sync.WaitGroup
		for i := range 36 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(i/3) * 500 * time.Microsecond)
				id := fmt.Sprintf("%016x", 0xc000+100*round+i)
				status, text := l.call(l.hosts[i%3], http.MethodPost, "/batch/"+id, tenantKey, map[string]any{"spec": "s", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 64, "estimated_ms": 300}}})
				if status != http.StatusOK {
					l.record("POST %s: %d %s", id, status, text)
				}
			}()
		}
		clients.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	// A manifest that withdraws nothing. The hosts' reads, which wait for a second, begin anew with it.
	l.store.put("keyed.op", "config", manifest(2, []string{tenantKey, withdrawnKey, "key-three"}, nil))
	time.Sleep(2150 * time.Millisecond)
	silentAt := time.Now()
	if l.trouble {
		for name, p := range proxies {
			l.record("%d channels of %s to the store go silent", p.silence(), name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	l.store.put("keyed.op", "config", manifest(3, []string{tenantKey}, nil))
	acknowledged := time.Now()
	l.record("the store acknowledges version 3, which holds %s no longer", withdrawnKey)
	last := map[string]int{}
	for time.Since(silentAt) < 8*time.Second {
		for _, h := range l.hosts {
			sent := time.Now()
			status, text := l.call(h, http.MethodGet, "/batch/", withdrawnKey, nil)
			if status != last[h.name] {
				l.record("GET /batch/ with the withdrawn key at %s, sent %.2f s after the channels went silent: %d %s", h.name, sent.Sub(silentAt).Seconds(), status, text)
				last[h.name] = status
			}
			if status == http.StatusOK && sent.Sub(silentAt) > 3050*time.Millisecond && sent.Sub(acknowledged) > 2050*time.Millisecond && len(l.broken) < 3 {
				l.breaks("CONFIG: %s serves a request with the withdrawn key that was sent %.2f s after the acknowledgement and %.2f s after the channels went silent", h.name, sent.Sub(acknowledged).Seconds(), sent.Sub(silentAt).Seconds())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}
