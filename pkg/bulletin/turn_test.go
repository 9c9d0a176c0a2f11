package bulletin

import (
	"testing"

	"quaydock/pkg/clock"
)

func TestWhoseTurnItIs(t *testing.T) {
	const long = clock.Minute
	scenarios := []struct {
		name string
		turn turn
		want bool
	}{
		{"the reader", turn{rank: 0, seniority: 3, entries: 68}, true},
		{"the next one, when the reader has just fallen silent", turn{rank: 1, seniority: 1, entries: 68, quiet: 50, asked: long, resort: lastResort}, false},
		{"the next one, a little later", turn{rank: 1, seniority: 1, entries: 68, quiet: standInStep, asked: long, resort: lastResort}, true},
		{"the next one again, after it was not answered", turn{rank: 2, seniority: 1, entries: 68, quiet: 3000, asked: 1000, resort: lastResort, unproven: 1000}, false},
		{"the next one again, after it was answered", turn{rank: 1, seniority: 1, entries: 68, quiet: 3000, asked: 1000, sound: true, resort: lastResort}, true},
		{"the last of those that stand in", turn{rank: 8, seniority: mostStandIns, entries: 68, quiet: mostStandIns * standInStep, asked: long, resort: lastResort}, true},
		{"one behind them", turn{rank: 9, seniority: mostStandIns + 1, entries: 68, quiet: long, asked: long, resort: lastResort}, false},
		{"one behind them whose proof is old", turn{rank: 9, seniority: mostStandIns + 1, entries: 68, quiet: long, asked: long, unproven: 4000, resort: 3900}, true},
		{"the same, after it has just asked", turn{rank: 9, seniority: mostStandIns + 1, entries: 68, quiet: long, asked: 4000, unproven: 8000, resort: 3900}, false},
		{"the same among few", turn{rank: 3, seniority: 3, entries: 4, quiet: 300, asked: 1000, unproven: 8000, resort: 3000}, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if got := s.turn.due(); got != s.want {
				t.Errorf("due: %t, want %t", got, s.want)
			}
		})
	}
}

// TestAllTogetherAskNoMoreWithTheirNumber adds up what entries ask that get no answer.
func TestAllTogetherAskNoMoreWithTheirNumber(t *testing.T) {
	const most = 18 // a second
	for _, entries := range []int{4, 68, 350, 1000} {
		asked := 0
		last := make([]clock.Millis, entries)
		const length = 60 * clock.Second
		for now := clock.Millis(0); now < length; now += 50 {
			for i := range entries {
				resort := lastResort + resortSpan(entries)*clock.Millis(i)/clock.Millis(entries)
				ask := turn{rank: max(1, i), seniority: i, entries: entries, quiet: now, asked: now - last[i] + long(last[i]), unproven: now, resort: resort}
				if ask.due() {
					asked++
					last[i] = now
				}
			}
		}
		if perSecond := float64(asked) / float64(length/clock.Second); perSecond > most {
			t.Errorf("%d entries ask %.1f times a second", entries, perSecond)
		}
	}
}

// long stands for never when an entry has not asked yet.
func long(last clock.Millis) clock.Millis {
	if last == 0 {
		return clock.Minute
	}
	return 0
}
