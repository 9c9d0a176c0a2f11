package feedrelay

import (
	"context"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
)

// listenResult is the outcome of listening for feed states.
type listenResult int

const (
	// nothingNew: no feed state to rely on, or none that is newer.
	nothingNew listenResult = iota
	// newState: a feed state that is newer and without a gap was received.
	newState
	// missedChange: there was a change whose rows this entry has not received.
	missedChange
	// newEra: another entry has the table of a later era of the store.
	newEra
	// shouldReadStore: there is no feed state to rely on, and this entry is to read the store.
	shouldReadStore
)

// listen waits for a newer feed state, until this entry is to read the store itself, or until
// there has been no feed state to rely on for storeLostAfter. The batch is set with newState, and names the era with newEra.
func (s *Source) listen(ctx context.Context, after history.Position) (follow.Batch, listenResult) {
	relay := s.relay
	for {
		relay.mu.Lock()
		t := relay.table(s.name)
		received, updated, silence, freshnessAge := t.received, t.updated, t.unreliableFor(relay.Clock.Now()), relay.Clock.Now()-t.currentAt
		relay.mu.Unlock()
		if received.Era > after.Era {
			return follow.Batch{Position: history.At(received.Era, 0)}, newEra
		}
		again := minReadPause // the last feed state may have become too old
		if silence <= 0 {
			if batch, found := received.since(after, s.confirmedAt); found != nothingNew {
				return batch, found
			}
		} else {
			decision := s.readDecision(silence, freshnessAge)
			if decision.shouldRead() {
				return follow.Batch{}, shouldReadStore
			}
			again = decision.untilDue()
		}
		if silence > storeLostAfter {
			return follow.Batch{}, nothingNew
		}
		clock.Await(ctx, again, updated)
		if ctx.Err() != nil {
			return follow.Batch{}, nothingNew
		}
	}
}

// readDecision gathers the inputs of the decision whether this entry reads the store itself.
func (s *Source) readDecision(silence, freshnessAge clock.Millis) readDecision {
	entries, _ := s.relay.members.Entries()
	if s.fallbackAge == 0 {
		s.fallbackAge = fallbackReadAge + s.random.DurationUpTo(fallbackSpan(entries))
	}
	rank, aliveRank := s.relay.members.FeedReaderRank(feedShard)
	return readDecision{
		rank: rank, aliveRank: aliveRank, entries: entries,
		unreliableFor: silence, sinceRead: s.relay.Clock.Now() - s.readAt, answeredLast: s.answeredLast, freshnessAge: freshnessAge, fallbackAge: s.fallbackAge,
	}
}

// since returns what a message adds for an entry that has the table up to a position of its era or a later one, with
// freshness confirmed up to the store time confirmedAt. A newState without rows only confirms the freshness. It is
// missedChange if the table has changed since and the message doesn't have the rows of all these changes.
func (m *message) since(after history.Position, confirmedAt clock.Millis) (follow.Batch, listenResult) {
	b := follow.Batch{Position: m.position(), StoreTime: m.StoreTime, Relayed: true}
	switch {
	case m.position().Before(after), m.position() == after && m.StoreTime <= confirmedAt:
		return b, nothingNew
	case after.Version >= m.Since:
		return b, newState
	case after.Version < m.Before || len(m.Rows) == 0:
		return b, missedChange
	}
	for _, r := range m.Rows {
		b.Rows = append(b.Rows, follow.Row{Key: r.Key, Value: r.Value, Gone: r.Gone, Position: history.At(m.Era, r.Version)})
	}
	return b, newState
}
