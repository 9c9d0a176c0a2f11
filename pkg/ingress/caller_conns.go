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
	book    *descriptors.Book
	open    map[net.Conn]*callerConn
	resting *list.List // of net.Conn, the longest at rest first
}

// callerConn is what is known of one.
type callerConn struct {
	turned  bool
	resting *list.Element // nil while it does not rest
}

func newCallerConns(c common.Common, shares descriptors.Shares) *callerConns {
	return &callerConns{
		Common: c, freed: make(chan struct{}, 1), book: descriptors.NewBook(shares),
		open: make(map[net.Conn]*callerConn), resting: list.New(),
	}
}

// arrive decides on a new connection. One that takes another's place has had that closed.
func (s *callerConns) arrive(c net.Conn) descriptors.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest net.Conn
	if s.book.AtLimit() {
		oldest = s.longestAtRest()
	}
	step, begins := s.book.Arrive(s.Clock.Now(), oldest != nil)
	if begins {
		s.Log.WithField("connections", s.book.Taken()).Warn("callers hold their share of the descriptors")
	}
	switch step {
	case descriptors.StepReplace:
		s.forget(oldest)
		_ = oldest.Close() // nothing is under way on it
		s.open[c] = &callerConn{}
	case descriptors.StepTake:
		s.open[c] = &callerConn{}
	case descriptors.StepTurnAway:
		s.open[c] = &callerConn{turned: true}
	case descriptors.StepWait:
		return step
	}
	s.Metrics.Figures.Add("caller_connections", "step", step.String())
	return step
}

// mostLooks bounds how many connections are looked at for one that rests.
const mostLooks = 8

// longestAtRest is the connection that has rested longest and has no request waiting to be
// read, or nil; the lock is held.
func (s *callerConns) longestAtRest() net.Conn {
	for range min(mostLooks, s.resting.Len()) {
		element := s.resting.Front()
		c := element.Value.(net.Conn)
		if !hasData(c) {
			return c
		}
		s.resting.MoveToBack(element)
	}
	return nil
}

// forget drops a connection; the lock is held.
func (s *callerConns) forget(c net.Conn) {
	known := s.open[c]
	if known.resting != nil {
		s.resting.Remove(known.resting)
	}
	delete(s.open, c)
}

// note takes over what net/http says of a connection.
func (s *callerConns) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.open[c]
	if known == nil {
		return // another has taken its place
	}
	if known.resting != nil {
		s.resting.Remove(known.resting)
		known.resting = nil
	}
	switch state {
	case http.StateIdle:
		known.resting = s.resting.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		s.ended(c, known)
	case http.StateNew, http.StateActive:
	}
}

// ended counts a connection out; the lock is held.
func (s *callerConns) ended(c net.Conn, known *callerConn) {
	s.forget(c)
	if known.turned {
		s.book.TurnedAway()
		select {
		case s.freed <- struct{}{}:
		default: // there is one already
		}
	} else {
		s.book.Ended()
	}
}

// drop closes a connection that nobody serves.
func (s *callerConns) drop(c net.Conn) {
	_ = c.Close() // it was not read from
	s.note(c, http.StateClosed)
}

// counts are how many connections callers hold, and how many are being turned away.
func (s *callerConns) counts() (taken, turned int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Taken(), s.book.Turned()
}

// tellOver logs a shortage that is over.
func (s *callerConns) tellOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	over := s.book.Over(now)
	if over == nil {
		return
	}
	s.Log.WithFields(map[string]any{
		"for_ms": int64(now - over.Began), "replaced": over.Replaced, "turned_away": over.Turned,
	}).Info("callers' share of the descriptors is enough again")
}

// shortageEvery is how often it is looked whether a shortage is over.
const shortageEvery = 500 * time.Millisecond

// watch looks from time to time whether a shortage is over, until closed.
func (s *callerConns) watch(closed <-chan struct{}) {
	ticker := time.NewTicker(shortageEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tellOver()
		case <-closed:
			return
		}
	}
}
