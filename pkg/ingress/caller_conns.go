package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/descriptors"
)

// callerConns tracks callers' connections and keeps them within their limit of descriptors. An idle connection is
// closed only when a new one needs its descriptor. Closing connections after their answers as soon as 7/8 of the limit
// are in use would make returning callers open a new connection each, which costs the entry processor time.
type callerConns struct {
	common.Common
	// freed gets a token when a rejected connection has ended. It holds one token, and a send never blocks.
	freed chan struct{}

	mu      sync.Mutex // guards the fields below
	limiter *descriptors.Limiter
	open    map[*bufferedConn]*callerConn // accepted and rejected ones
	idle    *list.List                    // of *bufferedConn, longest idle first
}

// callerConn is the state of one connection.
type callerConn struct {
	rejected bool          // it is beyond the limit
	idle     *list.Element // its place in callerConns.idle; nil unless the connection is idle
}

func newCallerConns(c common.Common, limits descriptors.Limits) *callerConns {
	return &callerConns{
		Common: c, freed: make(chan struct{}, 1), limiter: descriptors.NewLimiter(limits),
		open: make(map[*bufferedConn]*callerConn), idle: list.New(),
	}
}

// admit decides about a new connection. If it replaces an idle one, that is closed here. After StepWait the connection
// is not tracked, and admit must be called again for it.
func (cc *callerConns) admit(c *bufferedConn) descriptors.Step {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var oldest *bufferedConn
	if cc.limiter.AtLimit() {
		oldest = cc.longestIdle()
	}
	step, shortageBegins := cc.limiter.Arrive(cc.Clock.Now(), oldest != nil)
	if shortageBegins {
		cc.Log.WithField("connections", cc.limiter.CallerConnections()).Warn("caller connection limit reached")
	}
	switch step {
	case descriptors.StepReplace:
		cc.remove(oldest)
		_ = oldest.closeFor(ClosedByReplacement) // no request is in progress on it
		cc.open[c] = &callerConn{}
	case descriptors.StepTake:
		cc.open[c] = &callerConn{}
	case descriptors.StepTurnAway:
		cc.open[c] = &callerConn{rejected: true}
	case descriptors.StepWait:
		return step
	}
	cc.Metrics.Prometheus.Add("caller_connections", "step", step.String())
	return step
}

// maxIdleChecks limits how many idle connections are checked for pending data for a new one, as each check is a system
// call under the lock.
const maxIdleChecks = 8

// longestIdle returns the connection that has been idle longest and on which no part of a request has arrived, or nil; the
// lock is held.
func (cc *callerConns) longestIdle() *bufferedConn {
	for range min(maxIdleChecks, cc.idle.Len()) {
		element := cc.idle.Front()
		c := element.Value.(*bufferedConn)
		if !c.begun() && !hasData(c) {
			return c
		}
		cc.idle.MoveToBack(element)
	}
	return nil
}

// remove drops a connection from open and idle, and leaves the limiter's counts as they are; the lock is held.
func (cc *callerConns) remove(c *bufferedConn) {
	known := cc.open[c]
	if known.idle != nil {
		cc.idle.Remove(known.idle)
	}
	delete(cc.open, c)
}

// setState follows net/http's state changes of a connection, as ConnState of the http.Servers.
func (cc *callerConns) setState(conn net.Conn, state http.ConnState) {
	c := conn.(*bufferedConn)
	c.setState(state)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	known := cc.open[c]
	if known == nil {
		return // it was replaced by another
	}
	if known.idle != nil {
		cc.idle.Remove(known.idle)
		known.idle = nil
	}
	switch state {
	case http.StateIdle:
		known.idle = cc.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		cc.ended(c, known)
	case http.StateNew, http.StateActive:
	}
}

// ended removes a connection that was not replaced by another, also from the limiter's counts; the lock is held.
func (cc *callerConns) ended(c *bufferedConn, known *callerConn) {
	cc.remove(c)
	if known.rejected {
		cc.limiter.RejectionEnded()
		select {
		case cc.freed <- struct{}{}:
		default: // a token is there already
		}
	} else {
		cc.limiter.Ended()
	}
}

// drop closes a connection that no server has taken over.
func (cc *callerConns) drop(c *bufferedConn) {
	_ = c.Close() // nothing was read from it
	cc.setState(c, http.StateClosed)
}

// endWaits ends the waits for requests of which nothing was read yet, and returns how many connections are open.
func (cc *callerConns) endWaits() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := cc.Clock.Now()
	for c := range cc.open {
		c.endWait(now)
	}
	return len(cc.open)
}

// logUnanswered logs the unanswered requests on connections that end with the process.
func (cc *callerConns) logUnanswered() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for c := range cc.open {
		c.logUnanswered(ClosedByProcessEnd)
	}
}

// endReads ends the reading of requests in progress.
func (cc *callerConns) endReads() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for c := range cc.open {
		c.endRead()
	}
}

// counts returns how many connections callers hold, and how many more are being rejected.
func (cc *callerConns) counts() (taken, rejecting int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.limiter.CallerConnections(), cc.limiter.Rejecting()
}

// logShortageEnd logs the end of a shortage, that is, of a time in which callers' connections were at their limit. It
// does nothing if there is none, or if it goes on.
func (cc *callerConns) logShortageEnd() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := cc.Clock.Now()
	shortage := cc.limiter.EndedShortage(now)
	if shortage == nil {
		return
	}
	cc.Log.WithFields(map[string]any{
		"for_ms": int64(now - shortage.Began), "replaced": shortage.Replaced, "turned_away": shortage.Rejected,
	}).Info("caller connections below the limit again")
}

// shortageCheckInterval is how often the end of a shortage is checked for.
const shortageCheckInterval = 500 * clock.Millisecond

// watchShortage checks periodically whether a shortage has ended, until closed.
func (cc *callerConns) watchShortage(closed <-chan struct{}) {
	ticker := clock.NewTicker(shortageCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			cc.logShortageEnd()
		case <-closed:
			return
		}
	}
}
