package bulletin

import (
	"context"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/follow"
)

// finding is what listening comes to.
type finding int

const (
	// quiet: nobody tells how the table stands.
	quiet finding = iota
	// told: the reader, or who stands in for it, says how things stand.
	told
	// missed: there was a change that this entry did not hear.
	missed
	// ours: nobody tells, and it is this entry's turn to ask the store.
	ours
)

// listen waits for a message that says something new, for this entry's turn to ask the
// store, or until there were no news for too long.
func (s *Source) listen(ctx context.Context, after int64) (follow.Batch, finding) {
	b := s.board
	again := time.NewTicker(leastPause.Duration())
	defer again.Stop()
	for {
		b.mu.Lock()
		t := b.table(s.name)
		heard, news, silence, unproven := t.heard, t.news, t.quiet(b.Clock.Now()), b.Clock.Now()-t.currentAt
		b.mu.Unlock()
		if silence <= 0 {
			if batch, found := heard.since(after, s.proven); found != quiet {
				return batch, found
			}
		} else if s.turn(silence, unproven).due() {
			return follow.Batch{}, ours
		}
		if silence > lostAfter {
			return follow.Batch{}, quiet
		}
		select {
		case <-news:
		case <-again.C: // the last message may have become too old
		case <-ctx.Done():
			return follow.Batch{}, quiet
		}
	}
}

// turn gathers what this entry decides by whether to ask the store itself.
func (s *Source) turn(silence, unproven clock.Millis) turn {
	entries, _ := s.board.members.Entries()
	if s.resort == 0 {
		s.resort = lastResort + s.random.Within(resortSpan(entries))
	}
	rank, seniority := s.board.members.FeedReaderRank(matter)
	return turn{
		rank: rank, seniority: seniority, entries: entries,
		quiet: silence, asked: s.board.Clock.Now() - s.asked, sound: s.sound, unproven: unproven, resort: s.resort,
	}
}

// since returns what a message tells one who knows a version, which was proven
// at a time of the store.
func (m *message) since(after int64, proven clock.Millis) (follow.Batch, finding) {
	b := follow.Batch{Version: m.To, StoreTime: m.StoreTime, Relayed: true}
	switch {
	case m.To < after, m.To == after && m.StoreTime <= proven:
		return b, quiet
	case after >= m.Since:
		return b, told
	case after < m.Before || len(m.Rows) == 0:
		return b, missed
	}
	for _, r := range m.Rows {
		b.Rows = append(b.Rows, follow.Row{Key: r.Key, Value: r.Value, Gone: r.Gone, Version: r.Version})
	}
	return b, told
}
