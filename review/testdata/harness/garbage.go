package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case garbage.
const (
	garbageEntries = 2
	garbageEngines = 4
	garbageShare   = 0.5  // of the engines: the share of garble
	garbageOf      = 0.02 // of their answers: its x
	garbageFor     = 5500 * time.Millisecond
	garbagePause   = 1500 * time.Millisecond
	garbageTime    = 105 * time.Second
	garbageClients = 24
	garbageRate    = 100_000_000 // bytes a second of one spoiled answer, below a front machine's link_mbps of 1000
	memoryMB       = 284         // of a front machine
	memoryCheck    = 20 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	killsOfFault   = 3 // of one machine, at two machines at least
)

// tagRoute is a route of short streams: symbol-tag of acocarta-quay.
func tagRoute() object {
	return object{
		"name": "r-tag", "host": hostName, "path_prefix": "/tag/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 1500,
		"priority": 2, "service": service, "max_attempts": 1, "anonymous": false, "sticky_sessions": true, "stream_resume": false, "gap_aim_ms": 400,
	}
}

// playGarbage lets engines send bytes that are no answer in place of some of their answers. An entry whose process goes
// over the memory of its machine is killed and started again, as the platform does.
func playGarbage(p *play) (int, error) {
	p.configure(tagRoute())
	for n := range garbageEngines {
		s, err := startServer(p.record, n)
		if err != nil {
			return notRun, err
		}
		p.servers = append(p.servers, s)
		p.listEngine(s.id, s.listed)
	}
	if err := p.startEntries(garbageEntries); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	kills := make([]int, garbageEntries)
	var all sync.WaitGroup
	for i, e := range p.entries {
		all.Go(func() { kills[i] = p.watchMemory(e, stop) })
	}
	answers := make(chan *answer, 100_000)
	for i := range garbageClients {
		all.Go(func() { p.askTags(i, stop, answers) })
	}
	until := time.Now().Add(garbageTime)
	for n := 0; time.Now().Before(until); n++ {
		p.garble(n, true)
		time.Sleep(garbageFor)
		p.garble(n, false)
		time.Sleep(garbagePause)
	}
	close(stop)
	all.Wait()
	close(answers)
	return p.judgeKills(kills, answers), nil
}

// garble switches garbage on or off at the engines of the share: each time at others than the time before.
func (p *play) garble(n int, on bool) {
	if !p.trouble {
		return
	}
	const share = int(garbageShare * garbageEngines)
	first := n * share % garbageEngines
	for _, s := range p.servers[first : first+share] {
		response, err := http.Post("http://"+s.private+"/control?garbage="+strconv.FormatBool(on), "", nil)
		if err == nil {
			_ = response.Body.Close()
		}
	}
	p.record.add("garbage at engines %d to %d: %t", first+1, first+share, on)
}

// watchMemory kills the process of an entry whenever it has gone over the memory of its machine, and starts it again. It
// returns how often.
func (p *play) watchMemory(e *entry, stop <-chan struct{}) int {
	kills, most := 0, 0
	for {
		select {
		case <-stop:
			p.record.say("entry %s: killed %d times over %d MB; most resident memory otherwise %d MB", e.name, kills, memoryMB, most>>20)
			return kills
		case <-time.After(memoryCheck):
		}
		used := residentBytes(e.process.Process.Pid)
		if used <= memoryMB<<20 {
			most = max(most, used)
			continue
		}
		kills++
		p.record.add("entry %s is killed: it uses %d MB of %d", e.name, used>>20, memoryMB)
		_ = e.process.Process.Signal(syscall.SIGKILL)
		<-e.ended
		time.Sleep(restartDelay)
		if err := p.start(e); err != nil {
			p.record.say("entry %s does not start: %v", e.name, err)
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// askTags sends short streams until stop.
func (p *play) askTags(i int, stop <-chan struct{}, answers chan<- *answer) {
	c := newClient(p.entries)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(700 * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04d", time.Now().Unix(), i, n)
		p.record.add("client %s: sent to %s", id, p.entries[i%len(p.entries)].name)
		a := c.send(p.entries[i%len(p.entries)], id, "/tag/2f", 3*time.Second)
		p.record.add("%v", a)
		answers <- a
	}
}

// judgeKills reports whether processes ended three times on two machines.
func (p *play) judgeKills(kills []int, answers <-chan *answer) int {
	count := make(map[string]int)
	for a := range answers {
		switch {
		case a.status == 200 && a.whole:
			count["whole"]++
		case a.status == 0:
			count["cut without an answer"]++
		case !a.whole:
			count["broken off"]++
		default:
			count[fmt.Sprintf("status %d", a.status)]++
		}
	}
	p.record.say("answers: %v", count)
	often := 0
	for _, k := range kills {
		if k >= killsOfFault {
			often++
		}
	}
	switch {
	case count["whole"] == 0:
		return notRun
	case often >= 2:
		p.record.say("BROKEN: the processes of %d of %d machines ended %d times or more by their memory", often, len(kills), killsOfFault)
		return broken
	}
	return held
}
