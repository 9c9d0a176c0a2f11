package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case reborn.
const (
	rebornEntries = 2
	rebornEngines = 6
	rebornStreams = 18 // at a time
	cutFor        = 2 * time.Second
	killAfter     = 500 * time.Millisecond // after the beginning of the cut
	startAfter    = 500 * time.Millisecond // after the kill
	lapseAfter    = 3600 * time.Millisecond
	rebornPause   = 4 * time.Second // between two cuts
	rebornCuts    = 5
)

// playReborn cuts engines off, one at a time; they crash behind the cut and start again, and the cut heals. Clients ask
// for streams all the while, and each answer that looks whole has to be the engine's whole stream.
func playReborn(p *play) (int, error) {
	p.configure(streamRoute())
	for n := range rebornEngines {
		s, err := startServer(p.record, n)
		if err != nil {
			return notRun, err
		}
		p.servers = append(p.servers, s)
		p.listEngine(s.id, s.listed)
	}
	if err := p.startEntries(rebornEntries); err != nil {
		return notRun, err
	}
	answers := make(chan *answer, 1000)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range rebornStreams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			p.ask(i, stop, answers)
		}()
	}
	for i := range rebornCuts {
		time.Sleep(rebornPause)
		if !p.trouble {
			time.Sleep(cutFor)
			continue
		}
		if err := p.reborn(p.servers[i%rebornEngines]); err != nil {
			return notRun, err
		}
	}
	time.Sleep(rebornPause)
	close(stop)
	clients.Wait()
	close(answers)
	return p.judgeStreams(answers), nil
}

// reborn cuts an engine off, kills it and starts it again behind the cut, and heals the cut.
func (p *play) reborn(s *server) error {
	p.record.add("engine %s is cut off", s.id)
	s.link.cut()
	time.Sleep(killAfter)
	former := s.id
	s.kill()
	time.AfterFunc(lapseAfter, func() { p.store.Remove("servers", former) })
	time.Sleep(startAfter)
	if err := s.start(); err != nil {
		return err
	}
	p.listEngine(s.id, s.listed)
	time.Sleep(cutFor - killAfter - startAfter)
	p.record.add("the cut of engine %s heals", s.id)
	s.link.heal()
	return nil
}

// ask sends one stream after another until stop.
func (p *play) ask(i int, stop <-chan struct{}, answers chan<- *answer) {
	c := newClient(p.entries)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%08x%04x%04d", time.Now().Unix(), i, n*10+i%2+n%2)
		p.record.add("client %s: sent to %s", id, p.entries[i%len(p.entries)].name)
		a := c.send(p.entries[i%len(p.entries)], id, "/pufi791/2f", 15*time.Second)
		p.record.add("%v", a)
		answers <- a
	}
}

// judgeStreams checks each answer that looks whole, and reports whether the rule was broken.
func (p *play) judgeStreams(answers <-chan *answer) int {
	code, all, wholeCount, brokenOff, refused := held, 0, 0, 0, 0
	for a := range answers {
		all++
		switch {
		case a.status != 200:
			refused++
			continue
		case !a.whole:
			brokenOff++
			continue
		}
		wholeCount++
		var want strings.Builder
		for n := 1; n <= eventCount; n++ {
			want.WriteString(eventText(a.id, n))
		}
		if a.body != want.String() {
			code = broken
			p.record.say("BROKEN: %s got status 200 and the end of a whole answer after %d of %d events; completed by an engine: %q",
				a.id, strings.Count(a.body, "\n\n"), eventCount, p.record.completed(a.id))
		}
	}
	p.record.say("%d streams: %d whole, %d broken off, %d without status 200", all, wholeCount, brokenOff, refused)
	if wholeCount == 0 {
		p.record.say("no stream was served")
		return notRun
	}
	return code
}
