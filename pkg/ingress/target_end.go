package ingress

import (
	"errors"
	"io"
)

// targetEnd learns while a caller is waited for whether its target has completed the answer. All its methods are called
// by the goroutine that relays the answer.
type targetEnd struct {
	peek    func() error  // reads the answer ahead, and returns io.EOF if nothing follows
	reached func()        // is called if peek has returned io.EOF
	peeked  bool          // peek was called since the last join
	done    chan struct{} // closed once peek has returned; nil unless that is waited for
	err     error         // of peek, once done is closed
}

// begin reads ahead, unless that was done already.
func (e *targetEnd) begin() {
	if e == nil || e.peeked {
		return
	}
	done := make(chan struct{})
	e.peeked, e.done = true, done
	go func() {
		e.err = e.peek()
		close(done)
	}()
}

// read returns a channel that is closed once something was read ahead; nil if nothing is being read.
func (e *targetEnd) read() <-chan struct{} {
	if e == nil {
		return nil
	}
	return e.done
}

// take takes in what was read, once the channel of read is closed.
func (e *targetEnd) take() {
	e.done = nil
	if errors.Is(e.err, io.EOF) {
		e.reached()
	}
}

// join waits for what is being read ahead, which ends at the latest with the request. The answer may be read or closed
// only after that.
func (e *targetEnd) join() {
	if e.done != nil {
		<-e.done
		e.done = nil
	}
	e.peeked = false
}
