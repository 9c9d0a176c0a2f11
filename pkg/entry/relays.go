package entry

import (
	"bytes"

	"github.com/juju/errors"

	"quaydock/pkg/refusal"
)

const (
	// maxBufferedBytes is the largest Content-Length of an answer that is buffered until it is complete.
	maxBufferedBytes = 64 << 10
	// maxEventBytes limits what is buffered of an incomplete event; a longer one is sent in parts.
	maxEventBytes = 1 << 20
)

// bufferedRelay sends a small answer only when it is complete, so that a broken-off one becomes a proper refusal.
type bufferedRelay struct {
	out    *answerWriter
	status int    // of the target's answer
	body   []byte // what has arrived
}

// write buffers bytes. It fails above maxBufferedBytes, which the stated length did not exceed.
func (h *bufferedRelay) write(p []byte) error {
	if len(h.body)+len(p) > maxBufferedBytes {
		return errors.NotValidf("answer above its stated length")
	}
	h.body = append(h.body, p...)
	return nil
}

func (h *bufferedRelay) finish() error {
	h.out.response.WriteHeader(h.status)
	return h.out.send(h.body)
}

// abort sends the refusal in place of the answer, of which nothing has been sent, and returns true.
func (h *bufferedRelay) abort(why *refusal.Refusal) bool {
	header := h.out.response.Header()
	for name := range header {
		if name != HeaderRequestID {
			header.Del(name)
		}
	}
	why.Write(h.out.response)
	return true
}

// streamRelay sends bytes on as they arrive. A broken-off answer ends in a broken connection: the length or the
// chunked coding shows that data is missing.
type streamRelay struct {
	out    *answerWriter
	status int  // of the target's answer
	begun  bool // the status and header have been sent
}

// begin sends the status and header, once.
func (s *streamRelay) begin() {
	if !s.begun {
		s.begun = true
		s.out.response.WriteHeader(s.status)
	}
}

func (s *streamRelay) write(p []byte) error {
	s.begin()
	if err := s.out.send(p); err != nil {
		return err
	}
	return s.out.flush()
}

func (s *streamRelay) finish() error {
	s.begin()
	// The HTTP server writes the end of the answer later; the deadline of the last write may have passed by then.
	writeDeadline(s.out.control, s.out.limit)
	return nil
}

// abort does nothing and returns false: the only form in which a stream can end early is a broken connection.
func (s *streamRelay) abort(*refusal.Refusal) bool {
	return false
}

// eventRelay sends server-sent events on, complete events only unless they are very long, and holds the closing
// event back until the answer is known to be complete.
type eventRelay struct {
	out     *answerWriter
	status  int    // of the target's answer
	begun   bool   // the status and header have been sent
	pending []byte // received but not sent: an incomplete event, or the closing event and what follows it
	// midEvent means that the first part of an event has been sent, but not its rest.
	midEvent bool
}

var (
	// doneEvent is the beginning of the closing event of a stream in the OpenAI form.
	doneEvent    = []byte("data: [DONE]")
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

// write sends the complete events before the closing event. Of an incomplete event that is longer than maxEventBytes
// it sends what has arrived.
func (e *eventRelay) write(p []byte) error {
	e.pending = append(e.pending, p...)
	end, open := completeEvents(e.pending), e.midEvent
	if end > 0 {
		open = false
	}
	done := e.closingAt(end)
	switch {
	case done >= 0:
		end = done
	case len(e.pending)-end > maxEventBytes:
		// What could be the beginning of the closing event stays.
		end, open = len(e.pending)-len(doneEvent)-1, true
	}
	if len(e.pending)-end > maxEventBytes {
		return errors.NotValidf("more than %d bytes behind the closing event", maxEventBytes)
	}
	if end == 0 {
		return nil
	}
	if err := e.send(e.pending[:end]); err != nil {
		return err
	}
	e.midEvent = open
	e.pending = append(e.pending[:0], e.pending[end:]...)
	return nil
}

// closingAt returns where the closing event begins among the complete events, which end at end, or -1.
func (e *eventRelay) closingAt(end int) int {
	done := bytes.Index(e.pending[:end], doneEvent)
	switch {
	case done > 0 && e.pending[done-1] == '\n', done == 0 && !e.midEvent:
		return done
	default:
		return -1
	}
}

// completeEvents returns the length of the complete events at the start of p.
func completeEvents(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(p, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	return end
}

// send sends bytes at once, after the status and header if they have not been sent.
func (e *eventRelay) send(p []byte) error {
	if !e.begun {
		e.begun = true
		e.out.response.WriteHeader(e.status)
	}
	if err := e.out.send(p); err != nil {
		return err
	}
	return e.out.flush()
}

// finish sends what has been held back, with the closing event.
func (e *eventRelay) finish() error {
	return e.send(e.pending)
}

// abort drops the incomplete event and ends with an error event, without the closing event that OpenAI clients
// wait for. In the middle of a long event none can be sent.
func (e *eventRelay) abort(why *refusal.Refusal) bool {
	if e.midEvent {
		return false
	}
	if !e.begun {
		header := e.out.response.Header()
		header.Del("Content-Type")
		why.Write(e.out.response)
		return true
	}
	event := append([]byte("data: "), why.Body()...)
	// The caller may have disconnected.
	_ = e.send(append(event, eventEnd...))
	return true
}
