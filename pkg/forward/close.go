package forward

import (
	"errors"
	"fmt"
	"time"
)

// ErrClosedEarly means that an answer that ends with its connection is not whole, although the connection was closed in
// good order: the target's process has ended, or the target has not read the request.
var ErrClosedEarly = errors.New("the connection was closed before the answer's end")

// checkClose returns nil if an answer is whole whose connection the target has closed, and ErrClosedEarly otherwise. The
// kernel also closes the connections of a process that has ended. It reports a reset only once, and possibly to write;
// reading then finds nothing but the end. Without a word of the process that answered, the answer is not whole.
func (e *exchange) checkClose() error {
	began := e.pool.Clock.Now()
	verdict := e.judgeClose()
	e.recordEnd(verdict, began)
	switch {
	case verdict.whole():
		return nil
	case verdict == EndUnread:
		return fmt.Errorf("%w: sending the request: %w", ErrClosedEarly, e.writeErr)
	case verdict == EndNotKnown:
		return fmt.Errorf("%w: the target does not say whether its process has ended", ErrClosedEarly)
	default:
		return fmt.Errorf("%w: the target's process has ended", ErrClosedEarly)
	}
}

// judgeClose judges the end of an answer whose connection the target has closed. The verdict is EndUnread only after
// write has ended.
func (e *exchange) judgeClose() EndVerdict {
	select {
	case <-e.writeEnd:
		if e.writeErr != nil {
			return EndUnread
		}
	case <-time.After(endedTimeout.Duration()): // the target has closed one direction only
	}
	return e.pool.judgeProcess(e.ctx, e.target)
}
