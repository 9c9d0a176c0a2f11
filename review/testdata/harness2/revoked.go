package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// revokeBound is revoke_ms of the settings.
const revokeBound = 5 * time.Second

// revoked: a new configuration takes away all keys, as its list of tenants is empty. Requests with the keys that were taken
// away must not run later than revoke_ms after that.
func revoked(b *bed, trouble bool) (int, error) {
	for i := range 3 {
		if _, err := b.startEngine("lookup", i); err != nil {
			return 0, err
		}
	}
	routes := []object{{"name": "all", "host": "site.example", "path_prefix": "/all/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1, "service": "lookup", "max_attempts": 1}}
	b.configure(routes, []object{tenant("t1", "key-1")})
	if err := b.startEntries(2); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var acknowledged time.Time
	broken, ran, unknown := 0, 0, 0
	end := time.Now().Add(20 * time.Second)
	for i := range 4 {
		all.Go(func() {
			c := &client{bed: b, address: b.entries[i%len(b.entries)].address}
			defer c.close()
			for time.Now().Before(end) {
				r := c.do(call{method: http.MethodGet, path: "/all/2f", key: "key-1", deadline: 1500 * time.Millisecond})
				mu.Lock()
				if len(b.record.runsOf(r.id)) > 0 {
					ran++
					if after := r.sentAt.Sub(acknowledged); !acknowledged.IsZero() && after > revokeBound {
						broken++
						b.record.log("CONFIG: %s ran, sent %v after its key was taken away", r.id, after)
					}
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Go(func() { // a caller whose key no configuration has ever held; it is no part of the check
		c := &client{bed: b, address: b.entries[0].address}
		defer c.close()
		for time.Now().Before(end) {
			if r := c.do(call{method: http.MethodGet, path: "/all/2f", key: "key-never", deadline: 1500 * time.Millisecond}); len(b.record.runsOf(r.id)) > 0 {
				mu.Lock()
				unknown++
				mu.Unlock()
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		at := b.configure(routes, []object{})
		mu.Lock()
		acknowledged = at
		mu.Unlock()
	}
	all.Wait()
	b.record.log("%d requests ran, %d of them sent more than %v after their key was taken away; beside them %d with a key that was never held", ran, broken, revokeBound, unknown)
	if ran < 50 {
		return 0, fmt.Errorf("only %d requests ran", ran)
	}
	return broken, nil
}
