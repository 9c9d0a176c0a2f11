// Package feedrelay relays the change feed of the platform's store among entries, so that one
// entry, the feed reader, reads the store for all. It sends the others what has changed, up to
// which version, and when the store confirmed it. When the feed reader sends nothing or its
// feed state is old, the others query one another and a few act as backup readers. An entry
// reads the store itself (a fallback read) only after a long time without confirmed freshness.
package feedrelay

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
)

const (
	// relayInterval is how often the feed reader sends its feed state.
	relayInterval = 300 * clock.Millisecond
	// silenceLimit is how long a feed state is relied on without a new one: two messages of the
	// feed reader may be lost.
	silenceLimit = 850 * clock.Millisecond
	// MaxStoreWait is how long the feed reader lets the store hold a query for changes.
	MaxStoreWait = 1000 * clock.Millisecond
	// maxFeedAge is the age up to which the feed reader's state is relied on. Beyond it the feed
	// reader has lost the store, which others may still reach.
	maxFeedAge = MaxStoreWait + 300*clock.Millisecond
	// changeRepeatTime is for how long a change is repeated with each message.
	changeRepeatTime = 700 * clock.Millisecond
	// maxChangeBytes limits the bytes of changes in one message. Larger changes are only
	// announced, and the others fetch them from the store or from a peer.
	maxChangeBytes = 1000
)

// feedShard is the shard that the feed reader owns.
const feedShard = "store"

// message is the feed state of one table.
type message struct {
	_     struct{} `cbor:",toarray"`
	Table string
	// Era is that of all versions and times of the store below.
	Era history.Era
	// Since and To mean that no row has changed after version Since, up to version To.
	Since, To int64
	// Before and Rows are the last change, from version Before to Since. Rows is empty if the
	// change is too large or old.
	Before int64
	Rows   []row
	// StoreTime is the store's clock when it confirmed this, Age how long ago that was when the
	// message was sent.
	StoreTime clock.Millis
	Age       clock.Millis
}

// position returns that up to which the message has the table.
func (m *message) position() history.Position { return history.At(m.Era, m.To) }

// row is one changed row of a table, or the tombstone of a deleted one (Gone).
type row struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	Gone  bool
	// Version is that at which the row was written, in the era of the message; 0 if it is not known.
	Version int64
}

// Relay sends the feed state of each table if this entry is the feed reader, and receives it
// otherwise.
type Relay struct {
	common.Common
	members *membership.Members
	link    *packets.Link

	mu     sync.Mutex
	tables map[string]*table // by name
	// storeFailing says that this entry's last query to the store, for any table, got no
	// answer. recovered is closed, and replaced, when a query is answered again.
	storeFailing bool
	recovered    chan struct{}
}

// table is the state kept of one table. The relay's lock guards it.
type table struct {
	createdAt clock.Millis // when the table was first used here: followed, sent by another entry or queried by one
	replica   replica
	changedAt clock.Millis // when rows last changed
	readAt    clock.Millis // when the store last answered this entry; 0 before the first answer
	// currentAt is a moment at which the replica was current. The transit time of the
	// messages that reported it is not included.
	currentAt clock.Millis

	received     message        // the newest from the feed reader or another entry
	receivedAt   clock.Millis   // 0 before the first one
	receivedFrom netip.AddrPort // its sender; not valid before the first one
	updated      chan struct{}  // closed and replaced by the next message
}

// NewRelay returns a relay without any feed state and registers its handlers on the link.
func NewRelay(c common.Common, members *membership.Members, link *packets.Link) *Relay {
	r := &Relay{Common: c, members: members, link: link, tables: make(map[string]*table), recovered: make(chan struct{})}
	link.Handle(packets.KindFeedState, packets.Receive(link, r.receiveState))
	link.Handle(packets.KindFeedQuery, packets.Receive(link, r.answerFeedQuery))
	return r
}

// Run sends the feed state to the others while this entry is the feed reader or acts as backup,
// and queries a few of them while it receives none, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, relayInterval)
		r.sendAll()
		r.sendFeedQueries()
	}
}

// isFeedReader reports whether this entry is the feed reader. In an experiment without that mechanism, each entry is.
func (r *Relay) isFeedReader() bool {
	if r.Ablation.Off(ablation.OneReader) {
		return true
	}
	rank, _ := r.members.FeedReaderRank(feedShard)
	return rank == 0
}

// recordStoreReply records whether the store has answered a query, and wakes the followers if it does so again after a
// failure.
func (r *Relay) recordStoreReply(answered bool) {
	r.members.RecordStoreReply(answered)
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered && r.storeFailing {
		close(r.recovered)
		r.recovered = make(chan struct{})
	}
	r.storeFailing = !answered
}

// table returns the state of a table, a new one if there is none; the caller holds the lock.
func (r *Relay) table(name string) *table {
	t := r.tables[name]
	if t == nil {
		t = &table{updated: make(chan struct{}), createdAt: r.Clock.Now()}
		r.tables[name] = t
	}
	return t
}

// reliableUntil returns until when the received feed state is relied on: until it is too old, or was received too long
// ago.
func (t *table) reliableUntil() clock.Millis {
	if t.receivedAt == 0 {
		return t.createdAt + silenceLimit // the feed reader may be about to send
	}
	return t.receivedAt + min(silenceLimit, maxFeedAge-t.received.Age)
}

// unreliableFor returns for how long there has been no feed state to rely on. It is negative
// while there is one.
func (t *table) unreliableFor(now clock.Millis) clock.Millis {
	return now - t.reliableUntil()
}

// shouldSend reports whether this entry sends the feed state of the table to the others: as the
// feed reader, or from its own reads of the store while no received state can be relied on.
func (t *table) shouldSend(now clock.Millis, isFeedReader bool) bool {
	return t.replica.known && t.readAt > 0 && (isFeedReader || t.readRecently(now) && t.unreliableFor(now) > 0)
}

// readRecently reports whether the store has answered this entry itself within maxFeedAge.
func (t *table) readRecently(now clock.Millis) bool {
	return t.readAt > 0 && now-t.readAt <= maxFeedAge
}

// sendAll sends the feed states that this entry should send. The lock is not held while it sends.
func (r *Relay) sendAll() {
	isFeedReader := r.isFeedReader()
	now := r.Clock.Now()
	var messages []message
	r.mu.Lock()
	for name, t := range r.tables {
		if t.shouldSend(now, isFeedReader) {
			messages = append(messages, t.message(name, now))
		}
	}
	r.mu.Unlock()
	r.send(messages)
}

// message returns the feed state of the table as known here, with its newest change for changeRepeatTime. The caller
// holds the relay's lock.
func (t *table) message(name string, now clock.Millis) message {
	r := &t.replica
	m := message{Table: name, Era: r.era, Since: r.last, To: r.to, Before: r.before, StoreTime: r.storeTime, Age: now - t.currentAt}
	if now-t.changedAt <= changeRepeatTime {
		m.Rows = r.newestChange()
	}
	return m
}

// send sends feed states to all other listed entries; the caller must not hold the lock.
func (r *Relay) send(messages []message) {
	if len(messages) == 0 {
		return
	}
	for _, to := range r.members.Others() {
		for _, m := range messages {
			r.link.Send(to, packets.KindFeedState, m)
		}
	}
}

// receiveState keeps a feed state that another entry sent, and wakes those that listen for one. A state of a former era
// is ignored: its sender has not heard yet that the store has returned from a copy.
func (r *Relay) receiveState(from netip.AddrPort, m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(m.Table)
	if m.Era < t.replica.era || m.position().Before(t.received.position()) || m.Era == t.received.Era && m.StoreTime < t.received.StoreTime {
		return // arrived out of order, or the sender knows less
	}
	t.received = *m
	t.receivedAt = r.Clock.Now()
	t.receivedFrom = from
	close(t.updated)
	t.updated = make(chan struct{})
}

// publish applies the store's answer to a query for the changes after a position, and sends a change to the others at
// once.
func (r *Relay) publish(name string, after history.Position, batch follow.Batch) {
	isFeedReader := r.isFeedReader()
	now := r.Clock.Now()
	r.mu.Lock()
	t := r.table(name)
	changed := t.replica.apply(after, batch)
	messages := t.storeAnswered(name, now, changed, isFeedReader)
	r.mu.Unlock()
	r.send(messages)
}

// publishSnapshot applies a snapshot read from the store, and sends a change to the others at once. It counts as
// a change only if the replica had all rows before.
func (r *Relay) publishSnapshot(name string, batch follow.Batch) {
	isFeedReader := r.isFeedReader()
	now := r.Clock.Now()
	r.mu.Lock()
	t := r.table(name)
	known := t.replica.complete
	// Whoever reads a new era first tells the others at once: they cannot go on from what they have.
	first := r.enterEra(name, t, batch)
	changed := t.replica.replace(batch) && known
	messages := t.storeAnswered(name, now, changed, isFeedReader || first)
	r.mu.Unlock()
	r.send(messages)
}

// storeAnswered records that the store has answered, and returns what is to be sent to the
// others at once: the feed state if rows have changed. The caller holds the relay's lock.
func (t *table) storeAnswered(name string, now clock.Millis, changed, isFeedReader bool) []message {
	t.readAt = now
	t.currentAt = now
	if !changed {
		return nil
	}
	t.changedAt = now
	if !t.shouldSend(now, isFeedReader) {
		return nil
	}
	return []message{t.message(name, now)}
}

// enterEra drops what was received of a former era before a table takes a snapshot of a later one. It reports whether
// that is so. The caller holds the relay's lock.
func (r *Relay) enterEra(name string, t *table, batch follow.Batch) bool {
	if !t.replica.known || batch.Position.Era <= t.replica.era {
		return false
	}
	t.currentAt = 0
	if t.received.Era < batch.Position.Era {
		t.received, t.receivedAt, t.createdAt = message{}, 0, r.Clock.Now()
	}
	r.Metrics.Prometheus.Add("table_eras_read", "table", name)
	r.Log.WithField("table", name).WithField("former", t.replica.position().String()).WithField("position", batch.Position.String()).
		WithField("rows", len(batch.Rows)).WithField("rows_that_differ", len(t.replica.differences(batch))).WithField("relayed", batch.Relayed).
		Info("table read in a new era of the store")
	return true
}

// applyRelayed applies changes after a position that another entry relayed, so that this entry can relay them too. They
// were current at currentAt.
func (r *Relay) applyRelayed(name string, after history.Position, batch follow.Batch, currentAt clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	t.replica.apply(after, batch)
	t.currentAt = max(t.currentAt, currentAt)
}

// applyRelayedSnapshot applies a snapshot that another entry relayed. It was current at currentAt.
func (r *Relay) applyRelayedSnapshot(name string, batch follow.Batch, currentAt clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.table(name)
	r.enterEra(name, t, batch)
	t.replica.replace(batch)
	t.currentAt = max(t.currentAt, currentAt)
}
