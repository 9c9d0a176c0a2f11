// Package bulletin lets one entry follow the platform's store for all: the
// reader passes on what has changed, up to which version, and when the store
// said so. The others listen. When the reader is silent or its news are old they ask
// one another, a few stand in for it, and only who has gone without proof for long
// asks the store for itself.
package bulletin

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/follow"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
)

const (
	// every is how often the reader tells how things stand.
	every = 300 * clock.Millisecond
	// silentAfter is after what silence its news are not relied on: two of its messages
	// may be lost.
	silentAfter = 850 * clock.Millisecond
	// ReaderWait is how long the reader lets the store hold a question.
	MaxStoreWait = 1000 * clock.Millisecond
	// oldAfter is from what age on the reader's news are not relied on: it has
	// lost the store, which others may still reach.
	oldAfter = MaxStoreWait + 300*clock.Millisecond
	// repeatFor is for how long a change is repeated with each message.
	repeatFor = 700 * clock.Millisecond
	// maxRows bounds the bytes of changes in one message. Larger changes are
	// announced, and the others fetch them, from the store or from a peer.
	maxRows = 1000
)

// matter is what the reader is in charge of.
const matter = "store"

// message tells how one table stands.
type message struct {
	_     struct{} `cbor:",toarray"`
	Table string
	// Since and To say that no row has changed after version Since up to To.
	Since, To int64
	// Before and Rows are the last change: from Before on to Since.
	Before int64
	Rows   []row
	// StoreTime is the store's clock when it said so, Age how long ago that
	// was when the message was sent.
	StoreTime clock.Millis
	Age       clock.Millis
}

type row struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	Gone  bool
	// Version is the one at which it was written.
	Version int64
}

// Board is an entry's part: it tells as the reader, and listens otherwise.
type Relay struct {
	common.Common
	members *membership.Members
	link    *packets.Link

	mu     sync.Mutex
	tables map[string]*table
	// failing says that this entry's last question to the store, for any table, got no
	// answer. answering is closed, and replaced, when one is answered again.
	failing   bool
	answering chan struct{}
}

// table is what is known of one table.
type table struct {
	begunAt clock.Millis
	replica replica
	changed clock.Millis // when it last got rows
	readAt  clock.Millis // when the store last answered this entry
	// currentAt is a moment at which the replica was current, but for the time that
	// the messages took that told so.
	currentAt clock.Millis

	heard     message // as the reader, or who stands in for it, told it
	heardAt   clock.Millis
	heardFrom netip.AddrPort
	news      chan struct{} // closed by the next message
}

// NewBoard returns a board without news.
func NewRelay(c common.Common, members *membership.Members, link *packets.Link) *Relay {
	b := &Relay{Common: c, members: members, link: link, tables: make(map[string]*table), answering: make(chan struct{})}
	link.Handle(packets.KindFeedState, packets.Receive(link, b.hear))
	link.Handle(packets.KindFeedQuery, packets.Receive(link, b.inquired))
	return b
}

// Run tells the others how things stand, as long as this entry is the reader or stands
// in for it, and asks a few of them while it hears nothing, until ctx ends.
func (b *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, every)
		b.tellAll()
		b.inquire()
	}
}

// reads reports whether this entry is the reader.
func (b *Relay) reads() bool {
	if b.Ablation.Off(ablation.OneReader) {
		return true
	}
	rank, _ := b.members.FeedReaderRank(matter)
	return rank == 0
}

// noteStore notes whether the store has answered a question.
func (b *Relay) noteStore(answered bool) {
	b.members.RecordStoreReply(answered)
	b.mu.Lock()
	defer b.mu.Unlock()
	if answered && b.failing {
		close(b.answering)
		b.answering = make(chan struct{})
	}
	b.failing = !answered
}

func (b *Relay) table(name string) *table {
	t := b.tables[name]
	if t == nil {
		t = &table{news: make(chan struct{}), begunAt: b.Clock.Now()}
		b.tables[name] = t
	}
	return t
}

// reliableUntil is up to when the news heard are relied on.
func (t *table) reliableUntil() clock.Millis {
	if t.heardAt == 0 {
		return t.begunAt + silentAfter // the reader may be about to tell
	}
	return t.heardAt + min(silentAfter, oldAfter-t.heard.Age)
}

// quiet is for how long there have been no news to rely on; below 0 while there are.
func (t *table) quiet(now clock.Millis) clock.Millis {
	return now - t.reliableUntil()
}

// tells reports whether this entry tells the others how a table stands: as the reader,
// or with news of its own while there are no others to rely on.
func (t *table) tells(now clock.Millis, reads bool) bool {
	return t.replica.known && t.readAt > 0 && (reads || t.readLately(now) && t.quiet(now) > 0)
}

// readLately reports whether the store has answered this entry itself of late.
func (t *table) readLately(now clock.Millis) bool {
	return t.readAt > 0 && now-t.readAt <= oldAfter
}

func (b *Relay) tellAll() {
	reads := b.reads()
	now := b.Clock.Now()
	var messages []message
	b.mu.Lock()
	for name, t := range b.tables {
		if t.tells(now, reads) {
			messages = append(messages, t.message(name, now))
		}
	}
	b.mu.Unlock()
	b.send(messages)
}

// message tells how a table stands, as far as is known here.
func (t *table) message(name string, now clock.Millis) message {
	r := &t.replica
	m := message{Table: name, Since: r.last, To: r.to, Before: r.before, StoreTime: r.storeTime, Age: now - t.currentAt}
	if now-t.changed <= repeatFor {
		m.Rows = r.newest()
	}
	return m
}

func (b *Relay) send(messages []message) {
	if len(messages) == 0 {
		return
	}
	for _, to := range b.members.Others() {
		for _, m := range messages {
			b.link.Send(to, packets.KindFeedState, m)
		}
	}
}

func (b *Relay) hear(from netip.AddrPort, m *message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table(m.Table)
	if m.To < t.heard.To || m.StoreTime < t.heard.StoreTime {
		return // overtaken on the way, or from one that knows less
	}
	t.heard = *m
	t.heardAt = b.Clock.Now()
	t.heardFrom = from
	close(t.news)
	t.news = make(chan struct{})
}

// publish notes an answer of the store, and tells a change at once.
func (b *Relay) publish(name string, after int64, batch follow.Batch) {
	reads := b.reads()
	now := b.Clock.Now()
	b.mu.Lock()
	t := b.table(name)
	changed := t.replica.apply(after, batch)
	told := t.answered(name, now, changed, reads)
	b.mu.Unlock()
	b.send(told)
}

// whole notes that the whole table was read.
func (b *Relay) whole(name string, batch follow.Batch) {
	reads := b.reads()
	now := b.Clock.Now()
	b.mu.Lock()
	t := b.table(name)
	known := t.replica.complete
	changed := t.replica.replace(batch) && known
	told := t.answered(name, now, changed, reads)
	b.mu.Unlock()
	b.send(told)
}

// answered notes that the store has answered, and returns what the others are to be
// told at once.
func (t *table) answered(name string, now clock.Millis, changed, reads bool) []message {
	t.readAt = now
	t.currentAt = now
	if !changed {
		return nil
	}
	t.changed = now
	if !t.tells(now, reads) {
		return nil
	}
	return []message{t.message(name, now)}
}

// learned notes what was heard of others, to pass it on.
func (b *Relay) learned(name string, after int64, batch follow.Batch, currentAt clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table(name)
	t.replica.apply(after, batch)
	t.currentAt = max(t.currentAt, currentAt)
}

// adopted notes a whole table that another entry passed on.
func (b *Relay) adopted(name string, batch follow.Batch, currentAt clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table(name)
	t.replica.replace(batch)
	t.currentAt = max(t.currentAt, currentAt)
}
