package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"quaydock/pkg/common"
	"quaydock/pkg/descriptors"
)

// callerConns are callers' connections, held to their share of the descriptors. A connection
// is closed only when another needs its place: closing them by their answers from 7/8 of the share on
// costs callers who come back a new connection each, and the entry its processor time (worth of
// six days of such a load 0.239 against 0.253).
type callerConns struct {
	common.Common
	// freed has a token when a connection that was turned away has ended.
	freed chan struct{}

	mu      sync.Mutex
	book    *descriptors.Limiter
	open    map[net.Conn]*callerConn
	resting *list.List // of net.Conn, the longest at rest first
}

// callerConn is what is known of one connection.
type callerConn struct {
	turned  bool
	resting *list.Element // nil while it does not rest
}

func newCallerConns(c common.Common, shares descriptors.Limits) *callerConns {
	return &callerConns{
		Common: c, freed: make(chan struct{}, 1), book: descriptors.NewLimiter(shares),
		open: make(map[net.Conn]*callerConn), resting: list.New(),
	}
}

// arrive decides on a new connection. One that takes another's place has had that closed.
func (cc *callerConns) arrive(c net.Conn) descriptors.Step {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	var oldest net.Conn
	if cc.book.AtLimit() {
		oldest = cc.longestAtRest()
	}
	step, begins := cc.book.Arrive(cc.Clock.Now(), oldest != nil)
	if begins {
		cc.Log.WithField("connections", cc.book.Taken()).Warn("callers hold their share of the descriptors")
	}
	switch step {
	case descriptors.StepReplace:
		cc.forget(oldest)
		_ = oldest.Close() // nothing is under way on it
		cc.open[c] = &callerConn{}
	case descriptors.StepTake:
		cc.open[c] = &callerConn{}
	case descriptors.StepTurnAway:
		cc.open[c] = &callerConn{turned: true}
	case descriptors.StepWait:
		return step
	}
	cc.Metrics.Prometheus.Add("caller_connections", "step", step.String())
	return step
}

// mostLooks bounds how many connections are looked at for one that rests.
const mostLooks = 8

// longestAtRest is the connection that has rested longest and has no request waiting to be
// read, or nil; the lock is held.
func (cc *callerConns) longestAtRest() net.Conn {
	for range min(mostLooks, cc.resting.Len()) {
		element := cc.resting.Front()
		c := element.Value.(net.Conn)
		if !hasData(c) {
			return c
		}
		cc.resting.MoveToBack(element)
	}
	return nil
}

// forget drops a connection; the lock is held.
func (cc *callerConns) forget(c net.Conn) {
	known := cc.open[c]
	if known.resting != nil {
		cc.resting.Remove(known.resting)
	}
	delete(cc.open, c)
}

// note takes over what net/http says of a connection.
func (cc *callerConns) note(c net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	known := cc.open[c]
	if known == nil {
		return // another has taken its place
	}
	if known.resting != nil {
		cc.resting.Remove(known.resting)
		known.resting = nil
	}
	switch state {
	case http.StateIdle:
		known.resting = cc.resting.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		cc.ended(c, known)
	case http.StateNew, http.StateActive:
	}
}

// ended counts a connection out; the lock is held.
func (cc *callerConns) ended(c net.Conn, known *callerConn) {
	cc.forget(c)
	if known.turned {
		cc.book.RejectionEnded()
		select {
		case cc.freed <- struct{}{}:
		default: // there is one already
		}
	} else {
		cc.book.Ended()
	}
}

// drop closes a connection that nobody serves.
func (cc *callerConns) drop(c net.Conn) {
	_ = c.Close() // it was not read from
	cc.note(c, http.StateClosed)
}

// counts are how many connections callers hold, and how many are being turned away.
func (cc *callerConns) counts() (taken, turned int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.book.Taken(), cc.book.Rejecting()
}

// tellOver logs a shortage that is over.
func (cc *callerConns) tellOver() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	now := cc.Clock.Now()
	over := cc.book.EndedShortage(now)
	if over == nil {
		return
	}
	cc.Log.WithFields(map[string]any{
		"for_ms": int64(now - over.Began), "replaced": over.Replaced, "turned_away": over.Rejected,
	}).Info("callers' share of the descriptors is enough again")
}

// shortageEvery is how often it is looked whether a shortage is over.
const shortageEvery = 500 * time.Millisecond

// watch looks from time to time whether a shortage is over, until closed.
func (cc *callerConns) watch(closed <-chan struct{}) {
	ticker := time.NewTicker(shortageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			cc.tellOver()
		case <-closed:
			return
		}
	}
}
