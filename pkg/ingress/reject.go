package ingress

import (
	"io"
	"net/http"
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	// crowdedRetry is the shortest Retry-After of an entry whose callers hold all connections up to the limit;
	// the times are spread over crowdedSpread, so that callers who were rejected together do not come back
	// together.
	crowdedRetry  = 500 * clock.Millisecond
	crowdedSpread = clock.Second
)

// Reject answers a request on a connection beyond the callers' limit. Its caller is told to come back, unless a
// request of a lower tier is in progress here: connections are admitted in the order of arrival, and without
// this exception a higher tier would be rejected while a lower one is served.
func (c *Controller) Reject(w http.ResponseWriter, r *http.Request) {
	// A writer without deadlines, as in tests, needs none.
	control := http.NewResponseController(w)
	if c.acquireExtra(r) {
		defer c.extra.Add(-1)
		// This server's deadlines are meant for rejected callers; net/http clears that for reading.
		_ = control.SetWriteDeadline(noDeadline)
		c.ServeHTTP(w, r)
		return
	}
	// Closing a connection with unread bytes resets it, which would lose the answer.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, initialHeaderBytes))
	// The time for the answer would otherwise end with that for the body.
	_ = control.SetWriteDeadline(time.Now().Add(rejectTimeout.Duration()))
	retry := crowdedRetry + clock.Millis(c.Random.Fork().Float64()*float64(crowdedSpread))
	q := &request{Call: c.admission.headerCodec.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	c.conclude(q, notRun(CauseCrowded, retry), &answerWriter{writer: w})
}

// acquireExtra takes one of the maxExtra slots for requests beyond the callers' limit, and reports whether it
// did: the request must be of a higher tier than one in progress, and a slot must be free.
func (c *Controller) acquireExtra(r *http.Request) bool {
	q := &request{Call: c.admission.headerCodec.Describe(r.Header), http: r, arrived: c.Clock.Now()}
	if c.admission.resolve(q) != nil || !c.inProgress.hasLower(q.tier()) {
		return false
	}
	if c.extra.Add(1) > c.maxExtra {
		c.extra.Add(-1)
		return false
	}
	return true
}

// tierCounts counts requests by tier.
type tierCounts struct {
	mu     sync.Mutex           // guards counts
	counts map[ids.TierRank]int // without tiers that have none
}

func newTierCounts() *tierCounts { return &tierCounts{counts: make(map[ids.TierRank]int)} }

// add adds n, which may be negative, to the count of a tier.
func (t *tierCounts) add(tier ids.TierRank, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[tier] += n
	if t.counts[tier] == 0 {
		delete(t.counts, tier)
	}
}

// hasLower reports whether there is a request of a lower tier, that is, of a higher rank.
func (t *tierCounts) hasLower(tier ids.TierRank) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other := range t.counts {
		if other > tier {
			return true
		}
	}
	return false
}
