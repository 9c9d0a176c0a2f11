package forward

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// body is the body of an answer. It is not safe for concurrent use.
type body struct {
	exchange *exchange
	own      *ownAnswer
	size     int   // bytes that were read
	limited  bool  // there is a limit of time; see Answer.LimitRest
	ended    bool  // the exchange has been finished
	end      error // of Read, if that has finished the exchange
}

// Read reads the body and finishes the exchange at its end or at the first error.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	b.exchange.readRest()
	n, err := b.own.Body.Read(p)
	b.size += n
	if err == nil || b.ended {
		return n, err
	}
	b.ended = true
	b.end = b.checkEnd(err)
	if b.limited {
		_ = b.exchange.conn.SetReadDeadline(time.Time{}) // finish may keep the connection
	}
	b.exchange.finish(b.own, errors.Is(b.end, io.EOF))
	return n, b.end
}

// restTime is how long a read waits for what the former incarnation of a target may have sent before it ended.
const restTime = 50 * clock.Millisecond

// readRest lets a read that begins after the target has started again have what the connection holds: an answer that waited
// for its caller may be complete there. Without more, the read fails as any other then.
func (e *exchange) readRest() {
	if errors.Is(context.Cause(e.ctx), ErrReplaced) {
		_ = e.conn.SetReadDeadline(time.Now().Add(restTime.Duration())) // an error means that it is closed already
	}
}

// checkEnd returns io.EOF for a complete body, and otherwise why it is not complete, given the error that ended it.
func (b *body) checkEnd(err error) error {
	switch {
	case b.limited && errors.Is(err, os.ErrDeadlineExceeded) && b.exchange.ctx.Err() == nil:
		return b.exchange.giveUp(LimitRest, b.size)
	case !errors.Is(err, io.EOF):
		return b.exchange.cause(err)
	case network.FramingOf(b.own.Response) != network.FramedByClose:
		return err
	}
	if closed := b.exchange.checkClose(); closed != nil {
		return closed
	}
	return err
}

// limitRest is Answer.LimitRest.
func (b *body) limitRest(within clock.Millis) {
	if b.ended {
		return
	}
	b.limited = true
	_ = b.exchange.conn.SetReadDeadline(time.Now().Add(within.Duration())) // an error shows at the next read
	if b.exchange.ctx.Err() != nil {
		b.exchange.breakOff() // which the deadline may have undone
	}
}

// close finishes the exchange, which closes the connection, unless Read has done so. The answer is not needed any more.
func (b *body) close() {
	defer b.exchange.pool.account.DropIncoming(&b.exchange.incoming)
	if !b.ended {
		b.ended = true
		b.exchange.finish(b.own, false)
	}
}
