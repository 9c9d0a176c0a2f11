package ingress

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// errSlowReader ends an answer whose caller did not read, as the entry held too much for callers.
var errSlowReader = errors.New("the caller did not read its answer, and too much was held for callers")

const (
	// minChunk and maxChunk are the sizes in bytes of the pieces in which an answer is buffered.
	minChunk = 4 << 10
	maxChunk = 64 << 10
)

// answerBuffer buffers an answer between its target and a caller that reads more slowly. It is written to by one
// goroutine. What the caller takes at once is not buffered. Otherwise a second goroutine writes to the caller until
// nothing is left.
type answerBuffer struct {
	conn *bufferedConn
	// ctx ends waiting for the caller: the request's context, and after untilCallerLeaves that of the connection.
	ctx context.Context
	// cancel ends the request once its caller can't be written to any more, as nothing else may notice that.
	cancel  context.CancelCauseFunc
	clock   clock.Clock
	account *buffers.Account
	reader  buffers.Reader
	// target tells of the end of the target's answer while write waits; may be nil.
	target *targetEnd
	// progress gets a token after each step of writeOut. It holds one token, and a send never blocks.
	progress chan struct{}
	// handOver is closed once the connection is to take all that is left; may be nil.
	handOver <-chan struct{}

	mu       sync.Mutex // guards the fields below
	chunks   [][]byte   // in order, without the one that is being written
	held     int        // bytes of all chunks by their capacity, with the one that is being written
	unsent   int        // bytes of the answer that are not written to the connection; stays what it is after err
	writing  bool       // writeOut runs
	limit    int        // of held
	err      error      // why nothing can be written to the caller any more
	finished bool       // the caller has taken everything
	end      *buffers.End
}

// openBuffer begins to buffer an answer on a caller's connection, up to limit bytes. The function cancels ctx.
func openBuffer(ctx context.Context, cancel context.CancelCauseFunc, conn *bufferedConn, clk clock.Clock, account *buffers.Account, limit int) *answerBuffer {
	b := &answerBuffer{conn: conn, ctx: ctx, cancel: cancel, clock: clk, account: account, limit: limit}
	b.reader.BreakOff = b.breakOff
	conn.answer.Store(b)
	return b
}

// write passes p on to the caller or buffers it. It waits for the caller only if the limit is reached.
func (b *answerBuffer) write(p []byte) (int, error) {
	b.mu.Lock()
	err, writing := b.err, b.writing
	b.mu.Unlock()
	if err != nil {
		return 0, err
	}
	written := 0
	if !writing {
		// No other goroutine writes to the connection now.
		if written, err = b.conn.writer.WriteNow(p); err != nil || written == len(p) {
			return written, err
		}
	}
	b.mu.Lock()
	b.unsent += len(p) - written
	b.mu.Unlock()
	for written < len(p) {
		n, err := b.add(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// add buffers the beginning of p, after waiting for room.
func (b *answerBuffer) add(p []byte) (int, error) {
	b.mu.Lock()
	for b.err == nil && b.spare() == 0 && b.held > 0 && b.held+minChunk > b.limit {
		b.mu.Unlock()
		b.target.begin()
		if err := b.await(); err != nil {
			return 0, err
		}
		b.mu.Lock()
	}
	if b.err != nil {
		defer b.mu.Unlock()
		return 0, b.err
	}
	var slowest []*buffers.Reader
	if b.spare() == 0 {
		size := max(minChunk, min(len(p), maxChunk, b.limit-b.held))
		b.chunks = append(b.chunks, make([]byte, 0, size))
		b.held += size
		slowest = b.account.Hold(b.clock.Now(), &b.reader, size)
	}
	n := min(len(p), b.spare())
	last := len(b.chunks) - 1
	b.chunks[last] = append(b.chunks[last], p[:n]...)
	if !b.writing {
		b.writing = true
		if b.progress == nil {
			b.progress = make(chan struct{}, 1)
		}
		go b.writeOut()
	}
	b.mu.Unlock()
	buffers.BreakOff(slowest)
	return n, nil
}

// spare returns how many more bytes fit into the last chunk. The lock is held.
func (b *answerBuffer) spare() int {
	if len(b.chunks) == 0 {
		return 0
	}
	last := b.chunks[len(b.chunks)-1]
	return cap(last) - len(last)
}

// writeOut writes what is buffered to the caller, until nothing is left or the caller can't be written to.
func (b *answerBuffer) writeOut() {
	for {
		chunk := b.next()
		if chunk == nil {
			b.signal()
			return
		}
		n, err := b.conn.Conn.Write(chunk)
		if err != nil {
			b.abandon(fmt.Errorf("writing what was buffered: %w", err))
		}
		b.taken(cap(chunk), n)
		b.signal()
	}
}

// next returns the chunk to be written next, nil if there is none.
func (b *answerBuffer) next() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil || len(b.chunks) == 0 {
		b.writing = false
		return nil
	}
	chunk := b.chunks[0]
	b.chunks[0] = nil
	b.chunks = b.chunks[1:]
	return chunk
}

// taken counts a chunk of so many bytes of memory as written, and n bytes of it as sent unless the answer has ended.
func (b *answerBuffer) taken(size, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= size
	if b.err == nil {
		b.unsent -= n
	}
	b.account.Take(b.clock.Now(), &b.reader, size)
}

// signal reports a step of writeOut.
func (b *answerBuffer) signal() {
	select {
	case b.progress <- struct{}{}:
	default: // a token is there already
	}
}

// await waits for the next step of writeOut, or of the target, and fails at the end of the request.
func (b *answerBuffer) await() error {
	handOver := b.handOver
	select {
	case <-handOver:
		b.expand()
		handOver = nil
	default:
	}
	select {
	case <-b.progress:
		return nil
	case <-b.target.read():
		b.target.take()
		return nil
	case <-handOver:
		return nil // the next call makes room
	case <-b.ctx.Done():
		err := fmt.Errorf("waiting for the caller to read: %w", context.Cause(b.ctx))
		b.abandon(err)
		return err
	}
}

// untilCallerLeaves lets the rest of the answer wait for its caller beyond the request's deadline, with the context that
// the server gave the request: it is ready, and is delivered also when late.
func (b *answerBuffer) untilCallerLeaves(server context.Context) { b.ctx = server }

// endBytes is room for what follows a body: its last chunk.
const endBytes = 4 << 10

// expand makes room in the caller's connection for all that is left, which writeOut writes then. What does not fit stays
// in the buffer.
func (b *answerBuffer) expand() {
	// An error means that the connection is closed, or that its buffer can't grow: then all stays as it is.
	_ = b.conn.writer.Expand(b.unsentBytes() + endBytes)
}

// finish waits until the caller has taken everything that was written, and ends the buffering.
func (b *answerBuffer) finish() error {
	for {
		b.mu.Lock()
		err, writing := b.err, b.writing
		b.finished = err == nil && !writing
		b.mu.Unlock()
		switch {
		case err != nil:
			return err
		case !writing:
			b.conn.answer.Store(nil)
			return nil
		}
		if err := b.await(); err != nil {
			return err
		}
	}
}

// abandon drops what is buffered, for the given reason, unless the answer was abandoned before.
func (b *answerBuffer) abandon(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail(err)
	b.account.Drop(&b.reader)
}

// fail is the part of abandon within this buffer, and ends the request; the lock is held.
func (b *answerBuffer) fail(err error) {
	if b.err == nil {
		b.err = err
	}
	b.chunks = nil
	b.cancel(err) // no effect if the context has ended
}

// breakOff ends the answer, as its caller reads too slowly. The connection is reset, so that a caller of HTTP/1.0 does
// not take what it has for the whole answer. It does nothing if the answer has been finished since the account chose it.
func (b *answerBuffer) breakOff(end buffers.End) {
	b.mu.Lock()
	if b.finished {
		b.mu.Unlock()
		return
	}
	if b.err == nil {
		b.end = &end
	}
	b.fail(errSlowReader)
	b.mu.Unlock()
	network.ResetOnClose(b.conn.Conn)
	_ = b.conn.Conn.Close()
}

// unsentBytes returns how many bytes the caller's connection has not taken, or had not when the answer was abandoned.
func (b *answerBuffer) unsentBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unsent
}

// brokenOff returns the state in which the account broke the answer off, nil if it did not.
func (b *answerBuffer) brokenOff() *buffers.End {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end
}
