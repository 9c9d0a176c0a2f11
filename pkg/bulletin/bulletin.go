// Package bulletin lets one entry follow the platform's store for all: the
// reader passes on what has changed, up to which version, and when the store
// said so. The others listen, and ask the store themselves when the reader is
// silent, when its news are old, or when they have missed some.
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
	// silentAfter is after what silence of the reader the others ask the store:
	// two of its messages may be lost.
	silentAfter = 850 * clock.Millisecond
	// ReaderWait is how long the reader lets the store hold a question.
	ReaderWait = 1000 * clock.Millisecond
	// oldAfter is from what age on the reader's news are not relied on: it has
	// lost the store, which others may still reach.
	oldAfter = ReaderWait + 800*clock.Millisecond
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
}

// Board is an entry's part: it tells as the reader, and listens otherwise.
type Board struct {
	common.Common
	members *membership.Members
	link    *packets.Link

	mu     sync.Mutex
	tables map[string]*table
}

// table is what is known of one table.
type table struct {
	told    message // as the reader tells it
	known   bool
	changed clock.Millis // when told last got rows
	readAt  clock.Millis // when the store last answered

	heard     message // as the reader told it
	heardAt   clock.Millis
	heardFrom netip.AddrPort
	news      chan struct{} // closed by the next message

	archive archive
}

// NewBoard returns a board without news.
func NewBoard(c common.Common, members *membership.Members, link *packets.Link) *Board {
	b := &Board{Common: c, members: members, link: link, tables: make(map[string]*table)}
	link.Handle(packets.KindBulletin, packets.Receive(link, b.hear))
	return b
}

// Run tells the others how things stand, as long as this entry is the reader,
// until ctx ends.
func (b *Board) Run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, every)
		if b.reads() {
			b.tellAll()
		}
	}
}

// reads reports whether this entry is the reader.
func (b *Board) reads() bool {
	if b.Ablation.Off(ablation.OneReader) {
		return true
	}
	_, self := b.members.Reader(matter)
	return self
}

func (b *Board) table(name string) *table {
	t := b.tables[name]
	if t == nil {
		t = &table{news: make(chan struct{})}
		b.tables[name] = t
	}
	return t
}

func (b *Board) tellAll() {
	now := b.Clock.Now()
	var messages []message
	b.mu.Lock()
	for _, t := range b.tables {
		if t.known {
			messages = append(messages, t.message(now))
		}
	}
	b.mu.Unlock()
	b.send(messages)
}

func (t *table) message(now clock.Millis) message {
	m := t.told
	m.Age = now - t.readAt
	if now-t.changed > repeatFor {
		m.Rows = nil
	}
	return m
}

func (b *Board) send(messages []message) {
	for _, to := range b.members.Others() {
		for _, m := range messages {
			b.link.Send(to, packets.KindBulletin, m)
		}
	}
}

func (b *Board) hear(from netip.AddrPort, m *message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table(m.Table)
	if m.To < t.heard.To {
		return // overtaken on the way
	}
	t.heard = *m
	t.heardAt = b.Clock.Now()
	t.heardFrom = from
	close(t.news)
	t.news = make(chan struct{})
}

// publish notes an answer of the store, and tells a change at once.
func (b *Board) publish(name string, after int64, batch follow.Batch) {
	now := b.Clock.Now()
	b.mu.Lock()
	t := b.table(name)
	t.archive.add(after, batch)
	if !t.known || t.told.To > after {
		// The first answer, or one after a whole read: what was before is not
		// known here.
		t.told = message{Table: name, Since: after, To: after, Before: after}
		t.known = true
	}
	t.told.To = max(t.told.To, batch.Version)
	t.told.StoreTime = batch.StoreTime
	t.readAt = now
	if len(batch.Rows) == 0 {
		b.mu.Unlock()
		return
	}
	t.told.Before, t.told.Since = t.told.Since, t.told.To
	t.told.Rows = rows(batch.Rows)
	t.changed = now
	m := t.message(now)
	b.mu.Unlock()
	if b.reads() {
		b.send([]message{m})
	}
}

// rows returns rows as they are passed on, or nil if they are too large.
func rows(list []follow.Row) []row {
	size := 0
	told := make([]row, 0, len(list))
	for _, r := range list {
		size += len(r.Key) + len(r.Value)
		told = append(told, row{Key: r.Key, Value: r.Value, Gone: r.Gone})
	}
	if size > maxRows {
		return nil
	}
	return told
}

// whole notes that the whole table was read up to a version.
func (b *Board) whole(name string, batch follow.Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.table(name)
	t.told = message{Table: name, Since: batch.Version, To: batch.Version, Before: batch.Version, StoreTime: batch.StoreTime}
	t.known = true
	t.readAt = b.Clock.Now()
	t.archive.add(batch.Version, follow.Batch{Version: batch.Version, StoreTime: batch.StoreTime})
}

// learned notes what was heard of others, to pass it on.
func (b *Board) learned(name string, after int64, batch follow.Batch) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table(name).archive.add(after, batch)
}
