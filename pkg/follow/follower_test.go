package follow_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/follow"
	"quaydock/pkg/network"
)

// source is a table whose answers are scripted.
type source struct {
	whole   func() (follow.Batch, error)
	changes func(after int64, wait clock.Millis) (follow.Batch, error)
}

func (s *source) Snapshot(context.Context) (follow.Batch, error) { return s.whole() }

func (s *source) Changes(_ context.Context, after int64, wait clock.Millis) (follow.Batch, error) {
	return s.changes(after, wait)
}

type handler struct {
	wholes  int
	changed []string
	proofs  []follow.Freshness
	lost    int
}

func (h *handler) Snapshot(_ []follow.Row, p follow.Freshness) {
	h.wholes++
	h.proofs = append(h.proofs, p)
}

func (h *handler) Changed(rows []follow.Row, p follow.Freshness) {
	for _, r := range rows {
		h.changed = append(h.changed, r.Key)
	}
	h.proofs = append(h.proofs, p)
}

func (h *handler) ReadFailed(error) { h.lost++ }

func run(s *source, h *handler, options follow.Options, length time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	follow.NewFollower(commontest.New(network.NewMemory(nil)), s, h, options).Run(ctx)
}

var options = follow.Options{Wait: clock.Second, Answer: 500}

func TestChangesAreFollowedFromTheWholeTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []int64
		s := &source{
			whole: func() (follow.Batch, error) { return follow.Batch{Version: 7}, nil },
			changes: func(after int64, wait clock.Millis) (follow.Batch, error) {
				asked = append(asked, after)
				time.Sleep(wait.Duration())
				return follow.Batch{Version: after + 1, Rows: []follow.Row{{Key: "x"}}}, nil
			},
		}
		h := &handler{}
		run(s, h, options, 3500*time.Millisecond)
		if h.wholes != 1 || len(asked) < 3 || asked[0] != 7 || asked[2] != 9 {
			t.Errorf("wholes %d, asked after %v", h.wholes, asked)
		}
	})
}

func TestAForgetfulStoreIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		s := &source{
			whole: func() (follow.Batch, error) { return follow.Batch{Version: 1}, nil },
			changes: func(int64, clock.Millis) (follow.Batch, error) {
				calls++
				time.Sleep(time.Second)
				if calls == 2 {
					return follow.Batch{}, follow.ErrTrimmed
				}
				return follow.Batch{Version: 1}, nil
			},
		}
		h := &handler{}
		run(s, h, options, 5*time.Second)
		if h.wholes != 2 || h.lost != 0 {
			t.Errorf("wholes %d, lost %d", h.wholes, h.lost)
		}
	})
}

// TestALongTableOfASlowStoreIsRead has the whole table take longer than one answer may, as
// pages of a long table do where the store is slow.
func TestALongTableOfASlowStoreIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{
			whole: func() (follow.Batch, error) {
				time.Sleep(1500 * time.Millisecond)
				return follow.Batch{Version: 1}, nil
			},
			changes: func(after int64, wait clock.Millis) (follow.Batch, error) {
				time.Sleep(wait.Duration())
				return follow.Batch{Version: after}, nil
			},
		}
		heeding := heedingSource{s}
		h := &handler{}
		ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
		defer stop()
		follow.NewFollower(commontest.New(network.NewMemory(nil)), heeding, h, options).Run(ctx)
		if h.wholes != 1 || h.lost > 0 {
			t.Errorf("read %d times, lost %d times", h.wholes, h.lost)
		}
	})
}

// heedingSource gives up when its caller's time is over, as a call to the store does.
type heedingSource struct{ *source }

func (s heedingSource) Snapshot(ctx context.Context) (follow.Batch, error) {
	batch, err := s.source.Snapshot(ctx)
	if ctx.Err() != nil {
		return follow.Batch{}, ctx.Err()
	}
	return batch, err
}

func TestAnOutageIsToldAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := &source{
			whole: func() (follow.Batch, error) { return follow.Batch{Version: 1}, nil },
			changes: func(int64, clock.Millis) (follow.Batch, error) {
				if time.Since(began) < 4*time.Second {
					return follow.Batch{}, errors.New("down")
				}
				time.Sleep(time.Second)
				return follow.Batch{Version: 1}, nil
			},
		}
		h := &handler{}
		run(s, h, options, 8*time.Second)
		if h.lost < 8 || h.lost > 40 {
			t.Errorf("told %d times in 4 s", h.lost)
		}
		if len(h.proofs) < 3 {
			t.Errorf("%d answers", len(h.proofs))
		}
	})
}

// TestProofIsNeverTooNew has the store answer late, and checks that what an
// answer proves lies between the question and the moment the store spoke.
func TestProofIsNeverTooNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		storeNow := func() clock.Millis { return clock.Millis(time.Since(began).Milliseconds()) + 5000 }
		var spoke []clock.Millis
		c := commontest.New(network.NewMemory(nil))
		s := &source{
			whole: func() (follow.Batch, error) {
				return follow.Batch{Version: 1, StoreTime: storeNow()}, nil
			},
			changes: func(int64, clock.Millis) (follow.Batch, error) {
				at := storeNow()
				spoke = append(spoke, c.Clock.Now())
				time.Sleep(900 * time.Millisecond) // the answer is long under way
				return follow.Batch{Version: 1, StoreTime: at}, nil
			},
		}
		h := &handler{}
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		follow.NewFollower(c, s, h, options).Run(ctx)
		for i, at := range spoke {
			if i+1 < len(h.proofs) && h.proofs[i+1].CurrentAt > at {
				t.Errorf("answer %d proves %d ms too much", i, h.proofs[i+1].CurrentAt-at)
			}
		}
	})
}

// TestAnOutageIsLoggedOnce has the store away before the first read and once more later: each
// outage takes one line when it begins, which tells whether anything is known, and one when it
// ends.
func TestAnOutageIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		away := func() bool {
			const first, from, to = time.Second, 3 * time.Second, 5 * time.Second
			age := time.Since(began)
			return age < first || age >= from && age < to
		}
		answer := func() (follow.Batch, error) {
			if away() {
				return follow.Batch{}, errors.New("down")
			}
			time.Sleep(100 * time.Millisecond)
			return follow.Batch{Version: 1}, nil
		}
		s := &source{whole: answer, changes: func(int64, clock.Millis) (follow.Batch, error) { return answer() }}
		c := commontest.New(network.NewMemory(nil))
		logger, lines := logtest.NewNullLogger()
		c.Log = logrus.NewEntry(logger)
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		defer stop()
		follow.NewFollower(c, s, &handler{}, options).Run(ctx)
		want := []string{
			"store not read; nothing is known of the table yet",
			"store read again",
			"store not read; going on with what is known",
			"store read again",
		}
		var got []string
		for _, line := range lines.AllEntries() {
			got = append(got, line.Message)
		}
		if !slices.Equal(got, want) {
			t.Errorf("logged %q, want %q", got, want)
		}
	})
}
