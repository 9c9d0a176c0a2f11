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
// back, unless work of a lower tier is under way here: the share is used in the order in
// which callers came, and no higher tier is shed while a lower one is served.
func (c *Controller) TurnAway(w http.ResponseWriter, r *http.Request) {
	if c.goesFirst(r) {
		defer c.beside.Add(-1)
		// The times of this server are for callers that are sent away.
		_ = http.NewResponseController(w).SetWriteDeadline(noDeadline)
		c.ServeHTTP(w, r)
		return
	}
	// What was not read would reset the connection, and the answer with it.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, firstHeaderBytes))
	retry := crowdedRetry + clock.Millis(c.Random.Fork().Float64()*float64(crowdedSpread))
	q := &request{Call: c.admission.dialect.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	c.conclude(q, notRun(CauseCrowded, retry), &answerWriter{writer: w})
}

// goesFirst reports whether a request is of a higher tier than some that is under way, and takes
// one of the places for such if there is one left.
func (c *Controller) goesFirst(r *http.Request) bool {
	q := &request{Call: c.admission.dialect.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	if c.admission.resolve(q) != nil || !c.underWay.below(q.tier()) {
		return false
	}
	if c.beside.Add(1) > c.mostBeside {
		c.beside.Add(-1)
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

// below reports whether there is a request of a lower tier.
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
