package membership

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

const (
	// helloEvery is how often entries greet one another; it grows with their
	// number beyond helloPeers, so that the greetings of one stay bounded.
	helloEvery = 150 * clock.Millisecond
	helloPeers = 8
	// helloSoonest is the least time between two greetings of an entry to all; it grows
	// as helloEvery does. One that has started, or has another idea of who lives, does not
	// wait for helloEvery: until
	// entries agree on who lives, each plans by itself and gives out a part only.
	// Measured among 27 entries 0.66 of the worth of days that end with a loss of
	// power against 0.61 (mean of 6 played days each); among four it is nothing.
	helloSoonest = 20 * clock.Millisecond
	// heardFor is for how many greetings' time an entry counts as alive: two
	// may be lost.
	heardFor = 3
)

// hello is a greeting.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Name    ids.Process
	View    uint64 // fingerprint of the entries that it takes for alive
	NoStore bool   // it does not reach the store
	Stamp   stamp
	Echo    stamp // of the receiver's greeting that it heard last
	Leaving bool  // it is being stopped
	Lagging bool  // it is behind its own clock
}

// Run keeps this entry listed and greets the others until ctx ends.
func (m *Members) Run(ctx context.Context) {
	go m.keepListed(ctx)
	go m.writeLots(ctx)
	go m.runProbes(ctx)
	for ctx.Err() == nil {
		m.greet()
		interval := m.interval()
		soonest := min(interval, helloSoonest*interval/helloEvery)
		clock.Pause(ctx, soonest)
		m.await(ctx, interval-soonest)
	}
}

// await waits, but not beyond a change of who is listed or alive.
func (m *Members) await(ctx context.Context, wait clock.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-m.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// changed has the next greeting sent soon.
func (m *Members) changed() {
	if m.Ablation.Off(ablation.QuickGreetings) {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default: // it has been told already
	}
}

func (m *Members) interval() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.every()
}

func (m *Members) every() clock.Millis {
	return helloEvery * clock.Millis(max(1, len(m.list)/helloPeers))
}

// greet sends a greeting to all others. One that has not read yet that it is listed, or hears nobody, is in charge of
// nothing, and the others are not to take it for that.
func (m *Members) greet() {
	m.mu.Lock()
	now := m.Clock.Now()
	m.refresh(now)
	if m.joins() || m.cutOff(now) {
		m.mu.Unlock()
		return
	}
	greetings := make(map[netip.AddrPort]hello, len(m.list))
	for name, other := range m.list {
		if name != m.self {
			greetings[other.address] = m.greetingTo(now, other)
		}
	}
	m.mu.Unlock()
	for address, greeting := range greetings {
		m.link.Send(address, packets.KindHello, greeting)
	}
}

// greetingTo is a greeting to one entry; the lock is held.
func (m *Members) greetingTo(now clock.Millis, other *member) hello {
	return hello{
		Name: m.self, View: m.view, NoStore: now < m.noStoreUntil,
		Stamp: stamp{Run: m.assurance.run, Sent: now}, Echo: other.greeting, Leaving: m.leaving, Lagging: m.lag.lagging,
	}
}

// Others returns the addresses of all other entries.
func (m *Members) Others() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others()
}

func (m *Members) others() []netip.AddrPort {
	var list []netip.AddrPort
	for name, other := range m.list {
		if name != m.self {
			list = append(list, other.address)
		}
	}
	return list
}

func (m *Members) greeted(from netip.AddrPort, message *hello) {
	m.mu.Lock()
	defer m.mu.Unlock()
	other := m.list[message.Name]
	if other == nil || other.address != from {
		m.meet(from) // its row has not been read yet
		return
	}
	now := m.Clock.Now()
	m.refresh(now)
	before := m.view
	answer := !m.heardLately(now, other) // it may not have heard this one either
	if answer {
		m.aliveUntil = stale
	}
	other.heardAt = now
	other.greetedAt = now
	if m.cutOff(now) {
		m.changed() // it has greeted nobody meanwhile
	}
	m.greetedAt = now
	if other.greeting.Run != message.Stamp.Run {
		other.leftAt = [mostLeft]clock.Millis{}
	}
	other.greeting = message.Stamp
	m.echoed(now, other, message.Echo)
	other.view = message.View
	other.leaving = message.Leaving
	if other.lagging != message.Lagging {
		other.lagging = message.Lagging
		m.aliveUntil = stale
	}
	other.noStoreUntil = 0
	if message.NoStore {
		other.noStoreUntil = now + noStoreFor
	}
	m.refresh(now)
	if m.view != before {
		// All are to know at once that there is one more. That there is one less is told by
		// the ordinary greetings: who doubts a home that still counts on this entry must not
		// be counted by the next one before.
		m.changed()
	}
	if answer && !m.joins() {
		m.link.Send(from, packets.KindHello, m.greetingTo(now, other))
	}
}

// mostStrangers bounds what is remembered of entries that are not on the list.
const mostStrangers = 8

// meet notes an entry that is not on the list as long as the list was not read; the
// lock is held.
func (m *Members) meet(stranger netip.AddrPort) {
	if len(m.list) == 0 && len(m.strangers) < mostStrangers {
		m.strangers[stranger] = true
	}
}

// Strangers returns the addresses of entries that greeted this one before it had read
// the list.
func (m *Members) Strangers() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.strangers))
}

// Doubt says that an entry did not answer. Where greetings are rare, as among
// many entries, it counts as gone until it is heard again, and is asked to greet at once; if it
// does not, all are told. Among few, greetings tell as soon. While this entry has just started, the other may
// not have, and who takes it for gone would be alone with its idea of who lives.
func (m *Members) Doubt(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.every() <= helloEvery || now < m.startedAt+presumeFor {
		return
	}
	for _, other := range m.list {
		if other.address != address {
			continue
		}
		other.heardAt = 0
		m.aliveUntil = stale
		m.probe(now, other.name, true)
		if p := m.probes.open[other.name]; p != nil {
			p.doubted = true
		}
	}
}

// Leave tells the others that this entry is being stopped.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	m.changed()
}

// FewStay reports whether less than half of the listed entries are heard of and are not
// being stopped. This one counts as stopping.
func (m *Members) FewStay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	staying := 0
	for name, other := range m.list {
		if name != m.self && m.heardLately(now, other) && !other.leaving {
			staying++
		}
	}
	return 2*staying < m.entries()
}

// Starting reports whether this entry has just started, so that others that started with
// it may not be there yet.
func (m *Members) Starting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now() < m.startedAt+presumeFor
}
