package feedrelay

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/history"
	"quaydock/pkg/packets"
	"quaydock/pkg/random"
)

// peersPerQuery is how many other entries are queried at a time. In an outage of the store that
// is about ten small datagrams a second for each entry, however many entries there are.
const peersPerQuery = 3

// queryMessage asks another entry for the feed state of tables.
type queryMessage struct {
	_      struct{} `cbor:",toarray"`
	Tables []queriedTable
}

// queriedTable is a table and the newest store time, of an era, of which the sender knows its state.
type queriedTable struct {
	_         struct{} `cbor:",toarray"`
	Table     string
	Era       history.Era
	StoreTime clock.Millis
}

// sendFeedQueries queries a few others about the tables without a feed state to rely on: an entry
// that the feed reader reaches relays its state to those that it does not reach.
func (r *Relay) sendFeedQueries() {
	now := r.Clock.Now()
	var query queryMessage
	r.mu.Lock()
	for name, t := range r.tables {
		if t.replica.known && !t.readRecently(now) && t.unreliableFor(now) > 0 {
			query.Tables = append(query.Tables, t.query(name))
		}
	}
	r.mu.Unlock()
	if len(query.Tables) == 0 {
		return
	}
	for _, to := range r.randomPeers(r.Random, peersPerQuery) {
		r.link.Send(to, packets.KindFeedQuery, query)
	}
}

// query returns the newest state of the table that this entry knows. The caller holds the relay's lock.
func (t *table) query(name string) queriedTable {
	q := queriedTable{Table: name, Era: t.replica.era, StoreTime: t.replica.storeTime}
	if t.received.Era > q.Era || t.received.Era == q.Era && t.received.StoreTime > q.StoreTime {
		q.Era, q.StoreTime = t.received.Era, t.received.StoreTime
	}
	return q
}

// isNewer reports whether the replica is of a later time of the store than the queried state.
func (r *replica) isNewer(q queriedTable) bool {
	return r.known && (r.era > q.Era || r.era == q.Era && r.storeTime > q.StoreTime)
}

// randomPeers returns up to n of the other entries, chosen at random: of those on the list, or, if there are none, of
// those that sent this entry a heartbeat before it had read the list.
func (r *Relay) randomPeers(by *random.Source, n int) []netip.AddrPort {
	others := r.members.Others()
	if len(others) == 0 {
		others = r.members.UnlistedPeers()
	}
	return sample(by, others, n)
}

// sample returns up to n random elements of a list, which it reorders.
func sample(by *random.Source, from []netip.AddrPort, n int) []netip.AddrPort {
	slices.SortFunc(from, netip.AddrPort.Compare) // their order comes from a map, and a seed must give the same sample
	by.Fork().Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// answerFeedQuery sends the feed state of those queried tables that this entry knows as of a later time of the store
// than the sender does.
func (r *Relay) answerFeedQuery(from netip.AddrPort, query *queryMessage) {
	now := r.Clock.Now()
	r.mu.Lock()
	var messages []message
	for _, queried := range query.Tables {
		t := r.tables[queried.Table]
		if t != nil && t.replica.isNewer(queried) {
			messages = append(messages, t.message(queried.Table, now))
		}
	}
	r.mu.Unlock()
	for _, m := range messages {
		r.link.Send(from, packets.KindFeedState, m)
	}
}
