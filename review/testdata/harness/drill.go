package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the play drill, which is no case of the review: the pages know no drill of the store, only issue 59 does.
const (
	drillEntries = 4
	drillEngines = 4
	drillClients = 8
	copyAge      = time.Second // of the copy when the key is removed
	drillAfter   = 4 * time.Second
	drillAway    = 500 * time.Millisecond
	drillKill    = 400 * time.Millisecond  // after the store has gone away: the entry starts again as the store is back
	drillRewrite = 1500 * time.Millisecond // from the store's return until the operator writes again
	revokeTime   = 5 * time.Second         // revoke_ms
	drillEnd     = 10 * time.Second
	drillPause   = 150 * time.Millisecond
)

// configureKeys writes a configuration with keys.
func (d *deployment) configureKeys(version int, keys ...string) {
	d.store.Put("op", "config", encode(object{
		"version": version, "routes": []object{tagRoute()}, "services": []object{{"name": service, "health_path": "/health", "max_connections": 290}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{
			"name": "hule930", "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 2857940, "burst": 2857940,
		}},
	}))
}

// playDrill removes a key; seconds later the store returns from a copy of before that, one entry is killed and starts
// again meanwhile, and then the operator writes the configuration again. No request may run that was sent with the key
// more than revokeTime after its removal.
func playDrill(p *play) (int, error) {
	p.configureKeys(7, key, "another")
	for n := range drillEngines {
		s, err := startServer(p.record, n)
		if err != nil {
			return notRun, err
		}
		p.servers = append(p.servers, s)
		p.listEngine(s.id, s.listed)
	}
	if err := p.startEntries(drillEntries); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range drillClients {
		all.Go(func() { p.askDrill(i, stop, func(id string) { mu.Lock(); defer mu.Unlock(); sent[id] = time.Now() }) })
	}
	time.Sleep(2 * time.Second)
	p.store.Copy()
	time.Sleep(copyAge)
	p.configureKeys(8, "another")
	removed := time.Now()
	p.record.add("key removed")
	time.Sleep(drillAfter)
	if p.trouble {
		all.Go(func() {
			time.Sleep(drillKill)
			p.restart(p.entries[1])
		})
		p.record.add("the store is away")
		p.store.ReturnFromCopyAfter(drillAway)
		p.record.add("the store is back from a copy")
		time.Sleep(drillRewrite)
		p.store.RewriteLost("op", "servers")
		p.record.add("the operator has written again")
	}
	time.Sleep(time.Until(removed.Add(drillEnd)))
	close(stop)
	all.Wait()
	late := 0
	for id, at := range sent {
		if age := at.Sub(removed); age > revokeTime && len(p.record.ran(id)) > 0 {
			late++
			p.record.say("request %s was sent %.3f s after the removal of its key and ran", id, age.Seconds())
		}
	}
	p.record.say("%d requests, %d of them ran late", len(sent), late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// restart kills an entry and starts it again.
func (p *play) restart(e *entry) {
	_ = e.process.Process.Signal(syscall.SIGKILL)
	<-e.ended
	time.Sleep(restartDelay)
	if err := p.start(e); err != nil {
		p.record.say("entry %s does not start: %v", e.name, err)
	}
	p.record.add("entry %s started again", e.name)
}

// askDrill sends requests with the key until stop.
func (p *play) askDrill(i int, stop <-chan struct{}, sending func(id string)) {
	to := p.entries[i%len(p.entries)]
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(drillPause):
		}
		id := fmt.Sprintf("%04x%08x", i, n)
		sending(id)
		a := newClient(p.entries).send(to, id, "/tag/2f", 3*time.Second)
		if a.status != http.StatusUnauthorized {
			p.record.add("%s %v", to.name, a)
		}
	}
}
