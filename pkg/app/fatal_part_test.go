package app

import (
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
)

// twoAccounts are the keys of two client accounts.
var twoAccounts = []string{"key-a", "key-o"}

// behindSystem returns the parts of a prompt whose second part is fatal; sound requests share the first.
func behindSystem() []ids.PromptPart { return []ids.PromptPart{systemPart, fatalPart} }

// fatalPlay is a load of requests with a fatal part beside sound ones, and what happens meanwhile.
type fatalPlay struct {
	name    string
	path    string  // of the requests with a fatal part
	rate    float64 // a second; 0 for 6, below 0 for none
	keys    []string
	parts   func(b *partBed) []ids.PromptPart // nil for behindSystem
	entries int                               // 0 for 4
	targets int                               // 0 for crashTargets
	prepare func(b *partBed)
	fault   func(b *partBed)
	settled time.Duration // from when on sound requests are served; 0 for 8 s
}

// fatalPlays are the loads by which ways to quarantine requests are compared.
var fatalPlays = []fatalPlay{
	{name: "one account", path: "/safe/q", keys: []string{"key-a"}},
	{name: "two accounts", path: "/safe/q"},
	{name: "the first part", path: "/safe/q", parts: func(b *partBed) []ids.PromptPart { return []ids.PromptPart{fatalPart, b.document()} }},
	{name: "not repeatable", path: "/unsafe/q"},
	{name: "the answer had begun", path: "/resume/q", prepare: func(b *partBed) { b.partBegins(); b.streams = true }},
	{name: "targets back under their ids", path: "/safe/q", prepare: func(b *partBed) { b.reuseIDs() }},
	{name: "seldom", path: "/safe/q", rate: 1.5, settled: 11 * time.Second},
	{name: "seldom, sound ones are streams", path: "/stream/q", rate: 1.5, settled: 11 * time.Second, prepare: func(b *partBed) { b.streams = true }},
	{name: "streams", path: "/resume/q", prepare: func(b *partBed) { b.streams = true }},
	{name: "all entries killed", path: "/safe/q", settled: 13 * time.Second, fault: func(b *partBed) {
		time.Sleep(6 * time.Second)
		b.restartAll()
	}},
	{name: "no store", path: "/safe/q", fault: func(b *partBed) { b.setStoreDown(true) }},
	{name: "an entry joins", path: "/safe/q", fault: func(b *partBed) {
		b.killEntry(2)
		time.Sleep(9 * time.Second)
		b.startEntry(2)
	}, settled: 13 * time.Second},
	{name: "an entry is partitioned", path: "/safe/q", fault: func(b *partBed) {
		time.Sleep(500 * time.Millisecond)
		b.partition(1, true)
		time.Sleep(8 * time.Second)
		b.partition(1, false)
	}, settled: 12 * time.Second},
	{name: "lost datagrams", path: "/safe/q", fault: func(b *partBed) { b.loseDatagrams(0.2) }},
	{name: "many entries", path: "/safe/q", rate: 12, entries: 40, targets: 24},
	{name: "two fatal parts", path: "/safe/q", parts: func(b *partBed) []ids.PromptPart {
		return []ids.PromptPart{systemPart, []ids.PromptPart{fatalPart, secondFatalPart}[b.draw(2)]}
	}},
	{name: "from the middle on", path: "/safe/q", settled: 14 * time.Second, prepare: func(b *partBed) { b.from = 6 * time.Second }},
	{name: "many documents", path: "/stream/q", prepare: func(b *partBed) { b.streams, b.documents = true, 2000 }},
	{name: "slow first events", path: "/stream/q", rate: 1.5, settled: 11 * time.Second, prepare: func(b *partBed) { b.streams, b.firstTime = true, 700*time.Millisecond }},
	{name: "no fatal part, targets end one after the other", rate: -1, settled: 16 * time.Second, prepare: func(b *partBed) { b.streams, b.documents = true, 400 }, fault: func(b *partBed) {
		for b.now() < 14*time.Second {
			time.Sleep(400 * time.Millisecond)
			b.engine(b.draw(len(b.engines))).crash()
		}
	}},
	{name: "targets lost at the same time", path: "/safe/q", settled: 10 * time.Second, fault: func(b *partBed) {
		time.Sleep(1300 * time.Millisecond)
		b.endEvery(0, 2)
	}},
}

// partBegins has targets end after the first event of an answer.
func (b *partBed) partBegins() { b.began = true }

// TestRequestsWithAFatalPartEndFewTargets also guards against refusing sound requests of their callers.
func TestRequestsWithAFatalPartEndFewTargets(t *testing.T) {
	for _, p := range fatalPlays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *crashSeeds {
				synctest.Test(t, func(t *testing.T) {
					r := p.play(t, 1+seed)
					const mostLate = 3
					if r.late > mostLate {
						t.Errorf("%d requests reached targets later than %v after the fifth end", r.late, contactTime)
					}
					if r.settled < 0.97 {
						t.Errorf("sound requests served from %v on: %.3f", p.settledFrom(), r.settled)
					}
				})
			}
		})
	}
}

// settledFrom returns from when on sound requests must be served.
func (p fatalPlay) settledFrom() time.Duration {
	if p.settled > 0 {
		return p.settled
	}
	return 8 * time.Second
}

// play plays the load with a seed, and logs the result.
func (p fatalPlay) play(t *testing.T, seed uint64) fatalResult {
	if p.entries == 0 {
		p.entries = 4
	}
	if p.targets == 0 {
		p.targets = crashTargets
	}
	if p.rate == 0 {
		p.rate = 6
	}
	if p.keys == nil {
		p.keys = twoAccounts
	}
	b := newPartBed(t, seed, p.entries, p.targets)
	if p.prepare != nil {
		p.prepare(b)
	}
	if p.fault != nil {
		go p.fault(b)
	}
	parts := behindSystem
	if p.parts != nil {
		parts = func() []ids.PromptPart { return p.parts(b) }
	}
	if p.rate > 0 {
		go b.sendFatal(p.path, p.rate, p.keys, parts)
	}
	sound := "/safe/q"
	if b.streams {
		sound = "/stream/q"
	}
	b.sendSound(sound)
	r := b.result(p.settledFrom())
	t.Logf("%d targets ended, %d late; sound requests served: %.3f, from %v on %.3f; %d held back: %v", r.ended, r.late, r.served, p.settledFrom(), r.settled, r.heldBack, r.reasons)
	return r
}
