package bulletin

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/packets"
	"quaydock/pkg/random"
)

// asksAtOnce is how many others an entry asks at a time how the tables stand. In an
// outage of the store that is some ten small datagrams a second for each entry,
// whatever their number.
const asksAtOnce = 3

// inquiry asks how tables stand.
type inquiry struct {
	_      struct{} `cbor:",toarray"`
	Tables []standing
}

// standing is what the asker knows of a table.
type standing struct {
	_         struct{} `cbor:",toarray"`
	Table     string
	StoreTime clock.Millis
}

// inquire asks a few others about the tables of which nobody tells: whoever is in reach
// of the reader passes on what it says, also to those that the reader does not reach.
func (b *Relay) inquire() {
	now := b.Clock.Now()
	var question inquiry
	b.mu.Lock()
	for name, t := range b.tables {
		if t.replica.known && !t.readLately(now) && t.quiet(now) > 0 {
			question.Tables = append(question.Tables, standing{Table: name, StoreTime: max(t.replica.storeTime, t.heard.StoreTime)})
		}
	}
	b.mu.Unlock()
	if len(question.Tables) == 0 {
		return
	}
	for _, to := range b.some(b.Random, asksAtOnce) {
		b.link.Send(to, packets.KindFeedQuery, question)
	}
}

// some draws a few of the other entries.
func (b *Relay) some(by *random.Source, n int) []netip.AddrPort {
	others := b.members.Others()
	if len(others) == 0 {
		others = b.members.UnlistedPeers()
	}
	return draw(by, others, n)
}

// draw draws a few of a list.
func draw(by *random.Source, from []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(from, netip.AddrPort.Compare) // they come out of maps
	by.Fork().Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// inquired tells how the asker's tables stand, where more is known here.
func (b *Relay) inquired(from netip.AddrPort, question *inquiry) {
	now := b.Clock.Now()
	b.mu.Lock()
	var messages []message
	for _, asked := range question.Tables {
		t := b.tables[asked.Table]
		if t != nil && t.replica.known && t.replica.storeTime > asked.StoreTime {
			messages = append(messages, t.message(asked.Table, now))
		}
	}
	b.mu.Unlock()
	for _, m := range messages {
		b.link.Send(from, packets.KindFeedState, m)
	}
}
