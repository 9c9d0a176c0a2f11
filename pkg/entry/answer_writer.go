package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/network"
	"quaydock/pkg/refusal"
)

// answerWriter relays an answer to its caller in a form in which a broken-off answer cannot be taken for a
// complete one.
type answerWriter struct {
	response http.ResponseWriter
	control  *http.ResponseController // of response, for flushes and write deadlines
	limit    clock.Millis             // how long one write to the caller may take
	// received counts the answer's bytes received from the agent; a resume continues from there.
	received int64
	relay    relay // nil before the answer has begun
	// State for isSlow, which another goroutine calls: since when a write has been under way (0 if none is), and
	// whether one took slowWrite or longer since the last call.
	writingSince atomic.Int64 // clock.Millis, in Unix time
	wasSlow      atomic.Bool
}

// slowWrite is how long a write must take to count as slowed down by its caller.
const slowWrite = 100 * clock.Millisecond

// relay sends one kind of answer to the caller: bufferedRelay, streamRelay or eventRelay.
type relay interface {
	// write sends the next bytes, or buffers them. After an error the caller is taken to have disconnected.
	write(p []byte) error
	// finish ends a complete answer.
	finish() error
	// abort ends an incomplete answer. It reports whether it could say so in a form that callers read; if not, the
	// connection has to be aborted.
	abort(why *refusal.Refusal) bool
}

// newAnswerWriter returns a writer whose single writes to the caller may take up to limit.
func newAnswerWriter(w http.ResponseWriter, limit clock.Millis) *answerWriter {
	return &answerWriter{response: w, control: http.NewResponseController(w), limit: limit}
}

// started reports whether an answer has begun.
func (a *answerWriter) started() bool {
	return a.relay != nil
}

// begin starts the answer with the header that the agent sent; model is set for a call in the OpenAI form. It fails if
// the agent's header has no valid status.
func (a *answerWriter) begin(header http.Header, model bool) error {
	status, err := strconv.Atoi(header.Get(control.HeaderStatus))
	if err != nil {
		return fmt.Errorf("reading the status of the answer: %w", err)
	}
	if !network.IsFinalStatus(status) {
		return errors.NotValidf("status %d of the answer", status)
	}
	h := a.response.Header()
	for name, values := range header {
		if passed, own := strings.CutPrefix(name, control.PassPrefix); own {
			h[passed] = values
		}
	}
	a.relay = a.newRelay(status, h, model)
	return nil
}

// newRelay chooses the relay: by events for the event stream of a model, buffered for an answer whose Content-Length
// is small, else as a stream. The header h is the one that the caller gets.
func (a *answerWriter) newRelay(status int, h http.Header, model bool) relay {
	if model && strings.HasPrefix(h.Get("Content-Type"), "text/event-stream") {
		h.Del("Content-Length")
		return &eventRelay{out: a, status: status}
	}
	size, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err == nil && size <= maxBufferedBytes {
		return &bufferedRelay{out: a, status: status}
	}
	return &streamRelay{out: a, status: status}
}

// write passes on the next bytes from the agent. The answer must have begun.
func (a *answerWriter) write(p []byte) error {
	a.received += int64(len(p))
	return a.relay.write(p)
}

// finish ends a complete answer.
func (a *answerWriter) finish() error {
	return a.relay.finish()
}

// refuse reports to the caller why there is no complete answer. If the answer has begun in a form that cannot contain
// that, it panics with http.ErrAbortHandler, upon which the HTTP server breaks the connection.
func (a *answerWriter) refuse(why *refusal.Refusal) {
	if a.relay == nil {
		writeDeadline(a.control, a.limit)
		why.Write(a.response)
		return
	}
	if !a.relay.abort(why) {
		panic(http.ErrAbortHandler)
	}
}

// send writes to the caller; it waits for a slow reader no longer than the limit.
func (a *answerWriter) send(p []byte) error {
	began := writeDeadline(a.control, a.limit)
	a.writingSince.Store(int64(began))
	defer a.writeEnded(began)
	if _, err := a.response.Write(p); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}

// writeEnded records for isSlow that the write that began at began, in Unix time, has ended.
func (a *answerWriter) writeEnded(began clock.Millis) {
	a.writingSince.Store(0)
	if clock.Millis(time.Now().UnixMilli())-began >= slowWrite {
		a.wasSlow.Store(true)
	}
}

// isSlow reports whether the caller is slow to read the answer now, or was since the last call.
func (a *answerWriter) isSlow() bool {
	since := clock.Millis(a.writingSince.Load())
	waits := since != 0 && clock.Millis(time.Now().UnixMilli())-since >= slowWrite
	return a.wasSlow.Swap(false) || waits
}

// flush sends to the caller what the HTTP server has buffered.
func (a *answerWriter) flush() error {
	if err := a.control.Flush(); err != nil {
		return fmt.Errorf("writing to the caller: %w", err)
	}
	return nil
}
