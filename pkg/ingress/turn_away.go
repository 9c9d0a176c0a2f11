package ingress

import (
	"io"
	"net/http"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// crowdedRetry is when to come back to an entry whose callers hold all the connections that
	// they may; the moments spread over crowdedSpread, so that those who were turned away
	// together don't come together.
	crowdedRetry  = 500 * clock.Millisecond
	crowdedSpread = clock.Second
)

// TurnAway answers a request on a connection beyond callers' share. Its caller is told to come
// back, unless a request of a lower tier is under way here: the share is used in the order in
// which callers came, and without this a higher tier would be shed while a lower one is served.
func (c *Controller) Reject(w http.ResponseWriter, r *http.Request) {
	if c.takeExtra(r) {
		defer c.extra.Add(-1)
		// The deadlines of this server are for callers that are turned away. A writer without any, as
		// in tests, needs none taken off.
		_ = http.NewResponseController(w).SetWriteDeadline(noDeadline)
		c.ServeHTTP(w, r)
		return
	}
	// Closing a connection with unread bytes resets it, and the answer would be lost.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, firstHeaderBytes))
	retry := crowdedRetry + clock.Millis(c.Random.Fork().Float64()*float64(crowdedSpread))
	q := &request{Call: c.admission.dialect.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	c.conclude(q, notRun(CauseCrowded, retry), &answerWriter{writer: w})
}

// takeExtra takes one of the places for requests beyond callers' share, and reports whether it did:
// the request has to be of a higher tier than one that is under way, and a place free.
func (c *Controller) takeExtra(r *http.Request) bool {
	q := &request{Call: c.admission.dialect.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	if c.admission.resolve(q) != nil || !c.underWay.below(q.tier()) {
		return false
	}
	if c.extra.Add(1) > c.mostExtra {
		c.extra.Add(-1)
		return false
	}
	return true
}

// tierCounts counts requests by tier.
type tierCounts struct {
	mu sync.Mutex
	of map[ids.TierRank]int
}

func newTierCounts() *tierCounts { return &tierCounts{of: make(map[ids.TierRank]int)} }

func (t *tierCounts) add(tier ids.TierRank, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of[tier] += n
	if t.of[tier] == 0 {
		delete(t.of, tier)
	}
}

// below reports whether there is a request of a lower tier, which is one of a higher rank.
func (t *tierCounts) below(tier ids.TierRank) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other := range t.of {
		if other > tier {
			return true
		}
	}
	return false
}
