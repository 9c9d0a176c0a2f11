package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The limit of the tenants, what their callers ask for (about two thirds of it), and the bound of the rule.
const (
	windowRate, windowBurst = 285_794.0, 285_794.0 // tokens a second, and tokens
	windowTokens            = 8_800                // of one request
	windowClients           = 3                    // of each tenant at each entry
	windowPause             = 250 * time.Millisecond
	recoverBound            = 12 * time.Second // recover_s
	shownRefusals           = 50               // in the record
)

// window: all processes are killed, and some seconds after they are back the settings files name a longer window for quotas.
// Tenants that ask for less than their quotas must be served as before.
func window(b *bed, trouble bool) (int, error) {
	for i := range 4 {
		if _, err := b.startEngine("lookup", i); err != nil {
			return 0, err
		}
	}
	names := []string{"t1", "t2"}
	var tenants []object
	for _, name := range names {
		t := tenant(name, "key-"+name)
		t["rate_per_s"], t["burst"] = windowRate, windowBurst
		tenants = append(tenants, t)
	}
	b.configure([]object{{"name": "all", "host": "site.example", "path_prefix": "/all/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1, "service": "lookup", "max_attempts": 1}}, tenants)
	if err := b.startEntries(2); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var faultAt, backAt time.Time
	var asked, served [2]int // before the final fault, and later than recover_s after the machines are back
	end := time.Now().Add(85 * time.Second)
	for _, e := range b.entries {
		for _, name := range names {
			for range windowClients {
				all.Go(func() {
					c := &client{bed: b, address: e.address}
					defer c.close()
					for ; time.Now().Before(end); time.Sleep(windowPause) {
						r := c.do(call{method: http.MethodPost, path: "/all/2f", key: "key-" + name, tokens: windowTokens, body: "x", deadline: 1500 * time.Millisecond})
						mu.Lock()
						phase := -1
						switch {
						case faultAt.IsZero():
							phase = 0
						case !backAt.IsZero() && r.sentAt.Sub(backAt) > recoverBound:
							phase = 1
						}
						if phase >= 0 {
							asked[phase]++
							if r.status == http.StatusOK {
								served[phase]++
							}
						}
						shows := r.status != http.StatusOK && phase == 1 && asked[1]-served[1] <= shownRefusals
						mu.Unlock()
						b.record.settle(&r, shows)
					}
				})
			}
		}
	}
	go b.record.count(b.stopped)
	time.Sleep(5 * time.Second)
	mu.Lock()
	faultAt = time.Now()
	mu.Unlock()
	if trouble {
		if err := b.killAll(1300 * time.Millisecond); err != nil {
			return 0, err
		}
	}
	for _, e := range b.entries {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	time.Sleep(5 * time.Second)
	if trouble {
		for i, e := range b.entries {
			if err := e.changeSettings(`"quota_window_s":8`, `"quota_window_s":10`); err != nil {
				return 0, err
			}
			if i == 0 { // the file of the other one changes without any signal
				_ = e.process.Process.Signal(syscall.SIGHUP)
			}
		}
		b.record.log("the settings files name a window of 10 s for quotas instead of 8 s, and %s gets SIGHUP", b.entries[0].name)
	}
	all.Wait()
	b.record.log("before the final fault %d of %d requests were served; of those sent more than %v after the machines were back, %d of %d", served[0], asked[0], recoverBound, served[1], asked[1])
	fmt.Printf("before the final fault %d of %d requests were served; of those sent more than %v after the machines were back, %d of %d\n", served[0], asked[0], recoverBound, served[1], asked[1])
	if 4*served[0] < asked[0] || asked[1] == 0 {
		return 0, fmt.Errorf("too few requests were served before the final fault")
	}
	if 4*served[1] < asked[1] {
		b.record.log("RECOVER: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}
