package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/network"
	"quaydock/pkg/telemetry"
)

// ClosedBy says who closed a caller's connection.
type ClosedBy int

//go:generate stringer -type=ClosedBy -trimprefix=ClosedBy -output=closed_by_string.go

// Values of ClosedBy.
const (
	// ClosedByServer: net/http closed it by its own decision.
	ClosedByServer ClosedBy = iota
	// ClosedByCaller: the caller reset it, or the network broke it.
	ClosedByCaller
	// ClosedByTimeLimit: a time limit of reading passed.
	ClosedByTimeLimit
	// ClosedByReplacement: a new connection needed its descriptor.
	ClosedByReplacement
	// ClosedByProcessEnd: the process ended, as its grace was over.
	ClosedByProcessEnd
)

// requestReads is what was read of a request on a caller's connection, be it complete or not. It begins anew once the
// connection is idle.
type requestReads struct {
	state       http.ConnState
	bytes       int
	sinceWrite  int          // of bytes, those read after the last write, which belong to the request after this one
	first, last clock.Millis // when the first and the last of them were read
	answered    bool         // something was written since
	aborted     bool         // its handler gave it up, and has logged that
	err         error        // of the last read
}

// add records the result of a read.
func (r *requestReads) add(now clock.Millis, n int, err error) {
	if n > 0 {
		if r.bytes == 0 {
			r.first = now
		}
		r.last = now
		r.bytes += n
		r.sinceWrite += n
	}
	r.err = err
}

// wrote records that a part of the answer was written.
func (r *requestReads) wrote() {
	r.answered = true
	r.sinceWrite = 0
}

// setState follows net/http's states. A caller may send its next request before net/http finds the connection idle.
func (r *requestReads) setState(state http.ConnState) {
	if state == http.StateIdle {
		*r = requestReads{bytes: r.sinceWrite, sinceWrite: r.sinceWrite, first: r.last, last: r.last, err: r.err}
	}
	r.state = state
}

const (
	// headStart is the number of bytes of a head from which on net/http limits the time for the rest of it.
	headStart = 4
	// headStartTime is the time for these bytes on a kept connection. Some callers send a stray line end behind a request.
	headStartTime = clock.Second
)

// begun reports whether a part of a request was read.
func (r *requestReads) begun(now clock.Millis) bool {
	if r.state == http.StateIdle && r.bytes < headStart {
		return r.bytes > 0 && now < r.first+headStartTime
	}
	return r.bytes > 0 || r.state == http.StateActive
}

// unanswered reports whether a request has begun that got no part of an answer, and that no handler has given up.
func (r *requestReads) unanswered(now clock.Millis) bool {
	return r.begun(now) && !r.answered && !r.aborted
}

// unansweredLog counts and logs requests whose connections are closed before anything was written for them, other than
// by their handlers.
type unansweredLog struct {
	common.Common
	sampler  *telemetry.Sampler
	draining func() bool
}

func newUnansweredLog(c common.Common, draining func() bool) *unansweredLog {
	return &unansweredLog{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, linesPerSecond), draining: draining}
}

// closed records the end of a connection with an unanswered request.
func (l *unansweredLog) closed(r requestReads, by ClosedBy) {
	by = r.closedBy(by)
	l.Metrics.Prometheus.Add("caller_requests_unanswered", "closed_by", by.String())
	if !l.sampler.Allow(by.String()) {
		return
	}
	now := l.Clock.Now()
	line := l.Log.WithFields(map[string]any{
		"closed_by": by.String(), "state": r.state.String(), "read_bytes": r.bytes, "begun_ms": int64(now - r.first),
		"silence_ms": int64(now - r.last), "draining": l.draining(),
	})
	if r.err != nil {
		line = line.WithError(r.err)
	}
	line.Info("a caller's connection was closed before its request was answered")
}

// closedBy returns who closed the connection, where by says who called Close: net/http also does it for others.
func (r *requestReads) closedBy(by ClosedBy) ClosedBy {
	switch {
	case by != ClosedByServer || r.err == nil || errors.Is(r.err, net.ErrClosed):
		return by
	case errors.Is(r.err, os.ErrDeadlineExceeded):
		return ClosedByTimeLimit
	default:
		return ClosedByCaller
	}
}

// markAborted returns a handler that does what next does, and notes on the connection if it panics: it has logged then
// what became of its request.
func markAborted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ended := false
		defer func() {
			if conn, ok := network.ConnOf(r.Context()).(*bufferedConn); ok && !ended {
				conn.markAborted()
			}
		}()
		next.ServeHTTP(w, r)
		ended = true
	})
}
