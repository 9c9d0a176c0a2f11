package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Doses of the surplus bytes, within those of the pages' days: half of the engines, 2 in 100 of their answers.
const (
	surplusShare = 0.02
	surplusFor   = 20 * time.Second
)

// surplus: some engines send more after a whole answer: an answer that names no request and bears no seal. It arrives in the
// place where the next answer is expected. Callers must not get it.
func surplus(b *bed, trouble bool) (int, error) {
	for i := range 4 {
		e, err := b.startEngine("lookup", i)
		if err != nil {
			return 0, err
		}
		if trouble && i%2 == 0 {
			e.extra = surplusBytes
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
	end := time.Now().Add(surplusFor)
	for i := range 8 {
		all.Go(func() {
			c := &client{bed: b, address: b.entries[i%len(b.entries)].address}
			defer c.close()
			for time.Now().Before(end) {
				q := call{method: http.MethodPost, path: "/sig/2f", key: "key-1", body: "body", deadline: 1500 * time.Millisecond}
				if i%3 == 0 {
					q = call{method: http.MethodGet, path: "/mirror/2f", key: "key-1", deadline: 1500 * time.Millisecond}
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
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Wait()
	b.record.log("%d successes, %d of them not an answer of an engine to their request", answered, broken)
	if answered < 100 {
		return 0, fmt.Errorf("only %d requests were answered", answered)
	}
	return broken, nil
}

// surplusBytes returns, for a few answers, what follows them.
func surplusBytes(e *engine, _ []byte) []byte {
	if !isGarbled(e.bed) || rand.Float64() >= surplusShare {
		return nil
	}
	body := strings.Repeat("y", 64)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// mixed says why a success is not the whole answer of an engine to its request, or returns an empty text.
func (r *reply) mixed(b *bed) string {
	if r.status < 200 || r.status > 299 {
		return ""
	}
	seal := r.header.Get("X-Quaydock-Response-Seal")
	if seal == "" {
		return fmt.Sprintf("a success without the seal of an engine: %d, body %.40q", r.status, r.body)
	}
	for _, e := range b.record.runsOf(r.id) {
		if strings.HasPrefix(seal, e.id+".") && r.body == answerBody(e, r.id, seal) {
			return ""
		}
	}
	return fmt.Sprintf("a success that is no whole answer of an engine that ran it: seal %q, body %.60q", seal, r.body)
}

func tenant(name string, keys ...string) object {
	return object{"name": name, "api_keys": keys, "priority": 0, "rate_per_s": 0, "burst": 0, "unit": "tokens", "plain_tokens": 200}
}
