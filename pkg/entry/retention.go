package entry

import (
	"context"
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
)

// renewInterval is how often an agent is told that an answer is still needed. It is well below the time for which
// an agent keeps an answer that nobody asks for (settings resume_wait_ms).
const renewInterval = 5 * clock.Second

// retention has an agent keep an answer while a slow caller still reads it: the agent may have sent all of it, and
// what the connections hold is lost if they break.
type retention struct {
	common.Common
	request ids.Request
	bound   granted
	out     *answerWriter

	mu      sync.Mutex
	timer   *time.Timer // calls renew
	stopped bool        // no further timer is set
}

// startRetention starts a retention, which must be stopped when the answer has been relayed or has broken off.
func (x *exchange) startRetention(request ids.Request, bound granted, out *answerWriter) *retention {
	t := &retention{Common: x.Common, request: request, bound: bound, out: out}
	t.arm()
	return t
}

// arm sets the timer for the next renewal, unless the retention has been stopped.
func (t *retention) arm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer = time.AfterFunc(renewInterval.Duration(), t.renew)
	}
}

// renew has the agent keep the answer for longer, if the caller has been slow since the last renewal.
func (t *retention) renew() {
	if t.out.isSlow() {
		// A query for the outcome also tells the agent that the answer is still needed.
		if _, err := t.bound.session.outcome(context.Background(), t.request, t.bound.grant); err != nil {
			t.Log.WithError(err).Debug("telling the agent that an answer is still needed failed")
		}
	}
	t.arm()
}

// stop ends the retention. A renewal that is under way may still go on.
func (t *retention) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
