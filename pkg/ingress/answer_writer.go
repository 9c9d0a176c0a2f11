package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/forward"
)

// answerWriter writes one final answer to a caller.
type answerWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController // nil if only a refusal is written
	started bool                     // the status and headers of a target's answer are written
	conn    *bufferedConn            // nil if answers are not read ahead of their callers
	ctx     context.Context          // of the request, if conn is set
	cancel  context.CancelCauseFunc  // of ctx
	server  context.Context          // its parent, without the deadline
	clock   clock.Clock
	// handOver is closed once the process is about to end.
	handOver <-chan struct{}
	account  *buffers.Account
	buffer   *answerBuffer // nil before readAhead
	ready    clock.Millis  // when the target had completed the answer, as far as buffer is set; 0 before
}

// readAhead lets up to limit bytes of the body be written without waiting for the caller.
func (o *answerWriter) readAhead(limit int) {
	if o.conn != nil && o.buffer == nil {
		o.buffer = openBuffer(o.ctx, o.cancel, o.conn, o.clock, o.account, limit)
		o.buffer.handOver = o.handOver
	}
}

// targetDone says that the target has completed its answer, so that only the caller is waited for.
func (o *answerWriter) targetDone() {
	if o.buffer == nil {
		return
	}
	o.buffer.untilCallerLeaves(o.server)
	if o.ready == 0 {
		o.ready = o.clock.Now()
	}
}

// expectEnd has the end of the target's answer read ahead while there is no room for what is written; nil stops that.
func (o *answerWriter) expectEnd(e *targetEnd) {
	if o.buffer != nil {
		o.buffer.target = e
	}
}

// finish waits until the caller has taken what is written so far, also what net/http has buffered of it; after an error
// the caller can't be written to any more. The last chunk follows when the request ends.
func (o *answerWriter) finish() error {
	if o.buffer == nil {
		return nil
	}
	o.buffer.untilCallerLeaves(o.server)
	if err := o.flush(); err != nil {
		return err
	}
	return o.buffer.finish()
}

// slowReader returns the state of a caller whose answer was broken off as it did not read, and nil for any other.
func (o *answerWriter) slowReader() *buffers.End {
	if o.buffer == nil {
		return nil
	}
	return o.buffer.brokenOff()
}

// head writes the status and headers of a target's answer. A length of -1 stands for a body whose end is marked
// by its framing.
func (o *answerWriter) head(d HeaderCodec, a *forward.Answer, length int64) {
	o.started = true
	h := o.writer.Header()
	d.CopyAnswer(a.Header, h)
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.writer.WriteHeader(a.Status)
}

// body writes a part of the body; after an error the caller can't be written to any more.
func (o *answerWriter) body(p []byte) error {
	if _, err := o.writer.Write(p); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}

// flush sends what net/http has buffered of the answer; after an error the caller can't be written to any more.
func (o *answerWriter) flush() error {
	if err := o.control.Flush(); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}
