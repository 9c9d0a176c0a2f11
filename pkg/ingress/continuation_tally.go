package ingress

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// maxContinuations is how many kinds of continuations are told apart in a second; all others are one kind.
const maxContinuations = 32

// continuation is a kind of streams that go on: of which service, from which version to which, and after what.
type continuation struct {
	service ids.Service
	began   ids.Version // empty if that is not known
	version ids.Version
	after   string
}

// newContinuation returns the kind of a request's stream that goes on at a target.
func newContinuation(q *request, target *routing.Target, after string) continuation {
	c := continuation{service: target.Service, version: target.Version, after: after}
	if q.origin != nil {
		c.began = q.origin.Version
	}
	return c
}

// continuationTally counts the streams that go on without a line of their own, and logs the counts of a second at its
// end.
type continuationTally struct {
	common.Common
	mu     sync.Mutex           // guards counts
	counts map[continuation]int // empty while no report is due
}

// newContinuationTally returns an empty tally.
func newContinuationTally(c common.Common) *continuationTally {
	return &continuationTally{Common: c, counts: make(map[continuation]int)}
}

// add counts a stream that goes on.
func (t *continuationTally) add(c continuation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.counts) == 0 {
		time.AfterFunc(clock.Second.Duration(), t.report)
	}
	if _, known := t.counts[c]; !known && len(t.counts) >= maxContinuations {
		c = continuation{after: "others"}
	}
	t.counts[c]++
}

// report logs the counts, a line for each kind, and begins anew.
func (t *continuationTally) report() {
	t.mu.Lock()
	counts := t.counts
	t.counts = make(map[continuation]int)
	t.mu.Unlock()
	for c, n := range counts {
		t.Log.WithFields(logrus.Fields{
			"service": string(c.service), "began_version": string(c.began), "version": string(c.version), "after": c.after, "streams": n,
		}).Info("streams that went on in a second without lines of their own")
	}
}
