package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Doses of the wrong bytes, within those of the pages' days: at 0.6 of the engines, for 5 s at a time, 5 in 100 answers lack
// a length and end with their connections, and 3 in 100 are followed by a second answer, which comes late. All engines close
// the connection after an answer now and then, and say so, as sound ones do.
const (
	unframedShare  = 0.05
	secondShare    = 0.03
	closeShare     = 0.1
	lateEngines    = 5
	garbledEngines = 3
	garbledFor     = 5 * time.Second
	garbledPause   = time.Second
	lateFor        = 90 * time.Second
	lateClients    = 80
	lateSlots      = 6
	lateWorkMillis = 15
)

// late: some engines give answers without a length, and second answers that come late, in the place where the next one is
// expected; all name their requests. Callers must get nothing but whole answers of engines to their own requests.
func late(b *bed, trouble bool) (int, error) {
	for i := range lateEngines {
		e, err := b.startEngine("lookup", i)
		if err != nil {
			return 0, err
		}
		e.slots = make(chan struct{}, lateSlots)
		e.closes = func() bool { return rand.Float64() < closeShare }
		if trouble && i < garbledEngines {
			e.unframed = func() bool { return isGarbled(b) && rand.Float64() < unframedShare }
			e.extra = secondAnswer
		}
	}
	route := func(name, kind string) object {
		return object{"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1, "service": "lookup", "max_attempts": 1}
	}
	b.configure([]object{route("sig", "unsafe"), route("mirror", "safe")}, []object{tenant("t1", "key-1")})
	if err := b.startEntries(2); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	go b.record.count(b.stopped)
	var all sync.WaitGroup
	var mu sync.Mutex
	broken, answered := 0, 0
	end := time.Now().Add(lateFor)
	for i := range lateClients {
		all.Go(func() {
			c := &client{bed: b, address: b.entries[i%len(b.entries)].address}
			defer c.close()
			for time.Now().Before(end) {
				q := call{method: http.MethodPost, path: fmt.Sprintf("/sig/2f?work=%d", 5+rand.IntN(2*lateWorkMillis)), key: "key-1", body: "body", deadline: 1500 * time.Millisecond}
				if i%3 == 0 {
					q.method, q.path, q.body = http.MethodGet, "/mirror/2f", ""
				}
				r := c.do(q)
				mu.Lock()
				if r.status == http.StatusOK {
					answered++
				}
				why := r.mixed(b)
				if why != "" {
					broken++
					b.record.detail(r.id, "MIXED: %s gets %s", r.id, why)
				}
				b.record.settle(&r, why != "")
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	b.record.log("%d successes, %d of them not an answer of an engine to their request", answered, broken)
	fmt.Printf("%d successes, %d of them not an answer of an engine to their request\n", answered, broken)
	if answered < 100 {
		return 0, fmt.Errorf("only %d requests were answered", answered)
	}
	return broken, nil
}

// isGarbled reports whether the engines hand out wrong bytes now.
func isGarbled(b *bed) bool {
	return time.Since(b.record.began)%(garbledFor+garbledPause) < garbledFor
}

// secondAnswer returns, for a few answers, the same once more.
func secondAnswer(e *engine, answer []byte) []byte {
	if !isGarbled(e.bed) || rand.Float64() >= secondShare {
		return nil
	}
	return answer
}
