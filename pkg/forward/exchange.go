package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"quaydock/pkg/advisory"
	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/routing"
)

// errStray means that a target only answered other requests: maxStrayAnswers of them, or one that ends with its
// connection.
var errStray = errors.New("the target only answered other requests")

// exchange is one request on one connection.
type exchange struct {
	pool      *Pool
	target    *routing.Target
	conn      *connection // nil until there is one
	request   *Request
	question  bool                    // the request asks which process answers, and has no id
	ctx       context.Context         // the context of Send, which AbortReplaced may end too
	cancel    context.CancelCauseFunc // with ErrReplaced if the target has started again
	sentAt    clock.Millis            // when the request began to be written
	stop      func() bool             // undoes the breaking off at the end of ctx; false if that has begun
	writeEnd  chan struct{}           // closed when write ends; written and writeErr are read only after that
	written   int                     // bytes of the request, its head included
	writeErr  error
	headBytes int // of all heads, by headSize, but for the last piece of each
	incoming  buffers.Incoming
}

// Send makes one exchange. When ctx ends, or the target has started again, the connection is broken off. The caller has
// to close an *Answer.
func (p *Pool) Send(ctx context.Context, t *routing.Target, r *Request) Result {
	if p.withholds(t) {
		return Withheld{}
	}
	e := p.newExchange(ctx, t, r)
	if !p.register(t.Incarnation(), e) {
		e.cancel(nil)
		return unreached(t, ErrReplaced)
	}
	if err := e.connect(); err != nil {
		err = e.cause(err)
		e.unregister()
		return unreached(t, err)
	}
	if p.withholds(t) { // again: making the connection may have taken up to dialTimeout, a third of a second
		e.unregister()
		discard(e.conn)
		return Withheld{}
	}
	e.begin()
	return e.read()
}

// newExchange returns an exchange without a connection.
func (p *Pool) newExchange(ctx context.Context, t *routing.Target, r *Request) *exchange {
	e := &exchange{pool: p, target: t, request: r, writeEnd: make(chan struct{})}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	e.incoming.BreakOff = e.drop
	return e
}

// begin sends the request on the connection.
func (e *exchange) begin() {
	e.stop = context.AfterFunc(e.ctx, e.breakOff)
	e.sentAt = e.pool.Clock.Now()
	e.conn.latest = e.request.ID
	go e.write()
}

// withholds reports whether the target's advice blocks requests from this entry, or its failure domain is drained, and
// counts the request if so.
// It is checked here, where all paths to a target meet, since whoever made the assignment may not have received
// the advice.
func (p *Pool) withholds(t *routing.Target) bool {
	if !p.advice.Status(t.Incarnation()).Blocks() && !p.drained(t.ID) {
		return false
	}
	p.Metrics.Links.Add("requests_withheld", 1)
	return true
}

// connect takes an idle connection or makes one. A request without an id gets a new one, as nothing would tell its answer from
// another that comes late on a used one. One that was made while the target started again may lead to its new incarnation,
// which must not run what was counted for the former one: then it is closed and connect fails.
func (e *exchange) connect() error {
	if e.question || e.request.ID != "" {
		e.conn = e.pool.takeIdle(e.target.Incarnation(), e.request.ID)
	}
	if e.conn == nil {
		var err error
		if e.conn, err = e.pool.dial(e.ctx, e.target); err != nil {
			return err
		}
	}
	if err := e.cause(nil); err != nil {
		discard(e.conn)
		return err
	}
	return nil
}

// unregister removes the exchange from the pool and ends its context.
func (e *exchange) unregister() {
	e.pool.unregister(e.target.Incarnation(), e)
	e.cancel(nil)
}

// cause returns why an exchange failed: ErrReplaced if the target has started again, a LimitError if it was dropped, or
// else err. The error of the connection would only say that it was closed at this end.
func (e *exchange) cause(err error) error {
	cause := context.Cause(e.ctx)
	var limit *LimitError
	if errors.Is(cause, ErrReplaced) || errors.As(cause, &limit) {
		return cause
	}
	return err
}

// write sends the request. It runs concurrently with reading, since a target may answer before it has read a long
// body.
func (e *exchange) write() {
	var head bytes.Buffer
	r := e.request
	head.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	err := r.Header.Write(&head)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if err == nil {
		e.written, err = e.writeParts(head.Bytes(), r.Body)
	}
	e.writeErr = err
	close(e.writeEnd)
}

// maxCopiedBody is the length in bytes up to which a body is copied behind its head, for one plain write. A longer one is
// not: a target that reads slowly would have it held twice.
const maxCopiedBody = 4 << 10

// unreadBody is the length in bytes of a body that the kernel of a target's VM takes, and acknowledges, even while the
// process reads nothing of it: a quarter of the usual receive window at the beginning of a connection.
const unreadBody = 16 << 10

// writeParts writes the head and the body of the request, and returns how many bytes were written.
func (e *exchange) writeParts(head, body []byte) (int, error) {
	if len(body) <= maxCopiedBody {
		return e.conn.Write(append(head, body...))
	}
	if len(body) > unreadBody {
		go network.HoldWhileUnread(e.conn.Conn, e.writeEnd)
	}
	parts := net.Buffers{head, body}
	written, err := parts.WriteTo(e.conn.Conn)
	return int(written), err
}

// read returns the result of a request that is being sent. It skips answers that do not belong to it,
// and fails at the maxStrayAnswers-th of them.
func (e *exchange) read() Result {
	for range maxStrayAnswers {
		response, err := e.readHead()
		if err != nil {
			return e.failed(err)
		}
		own := e.claim(response)
		if own == nil {
			if err := e.skip(response); err != nil {
				return e.failed(err)
			}
			continue
		}
		if own.metadata.LoadMalformed {
			e.pool.Metrics.Links.Add("load_reports_malformed", 1)
		}
		e.recordAdvice(own)
		if own.metadata.NotRun || own.StatusCode == http.StatusMisdirectedRequest {
			return e.declined(own)
		}
		return e.answer(own)
	}
	return e.failed(errStray)
}

// recordAdvice passes on the advice in an answer's head. An answer of another process at the address (status 421)
// contains none about the target, and a back-off is read only from answers that reject a request with status 503:
// elsewhere the header field has other meanings.
func (e *exchange) recordAdvice(own *ownAnswer) {
	metadata := &own.metadata
	if own.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	advice := advisory.Advice{Leaving: metadata.Leaving, Limit: metadata.Limit, RequestedAt: e.sentAt}
	if own.StatusCode == http.StatusServiceUnavailable {
		advice.Backoff = metadata.Backoff
	}
	if !advice.Empty() {
		advice.SentAt = advisory.ReadDate(own.Header)
	}
	e.pool.advice.Observe(e.target.Incarnation(), e.conn.madeAt, e.request.ID, advice)
}

// An answer that does not belong to the request was complete before this one was sent, or nearly so. Its rest is skipped
// within these limits.
const (
	maxStrayBytes = 1 << 20
	strayTime     = 500 * clock.Millisecond
)

// skip discards an answer that does not belong to the request. It fails if the connection has no further answer.
func (e *exchange) skip(response *http.Response) error {
	if network.FramingOf(response) == network.FramedByClose {
		return errStray
	}
	if err := e.discardBody(response, maxStrayBytes, strayTime, LimitStray); err != nil {
		return fmt.Errorf("skipping the answer of another request: %w", err)
	}
	return nil
}

// failed ends an exchange without an answer. Only if the write itself failed before its first byte is it certain
// that nothing was sent.
func (e *exchange) failed(err error) Result {
	err = e.cause(err)
	e.stop()
	e.unregister()
	e.pool.account.DropIncoming(&e.incoming)
	discard(e.conn)
	<-e.writeEnd
	if e.writeErr != nil && e.written == 0 {
		return unreached(e.target, e.writeErr)
	}
	return Broken{fmt.Errorf("target %s, reused connection %t: %w", e.target.ID, e.conn.reused, err)}
}

// The rest of an answer that says that the request was not run is read so that its connection can be used again. Sound
// ones arrive with their heads. A request waits no longer for it, as another target may run it.
const (
	maxNotRunBytes = 64 << 10
	notRunTime     = 50 * clock.Millisecond
)

// declined ends an exchange whose target reported that it did not run the request.
func (e *exchange) declined(own *ownAnswer) Result {
	complete := reusable(own.Response) && e.discardBody(own.Response, maxNotRunBytes, notRunTime, LimitNotRun) == nil
	e.finish(own, complete)
	e.pool.account.DropIncoming(&e.incoming)
	return Declined{Status: own.StatusCode, Load: own.metadata.Load}
}

// answer returns the answer, whose body is still to be read. The exchange goes on until that ends.
func (e *exchange) answer(own *ownAnswer) Result {
	return &Answer{
		Status:      own.StatusCode,
		Header:      own.Header,
		Length:      own.ContentLength,
		Framing:     network.FramingOf(own.Response),
		Load:        own.metadata.Load,
		ConnectedAt: e.conn.madeAt,
		body:        &body{exchange: e, own: own},
	}
}

// finish ends an exchange whose own answer has been read, completely or in part. The connection is kept if both directions
// are done with it and the target keeps it open.
func (e *exchange) finish(own *ownAnswer, complete bool) {
	stopped := e.stop()
	e.unregister()
	written := false
	select {
	case <-e.writeEnd:
		written = e.writeErr == nil
	default: // part of the request's body has yet to be written
	}
	keep := keepFor(own.Header)
	if complete && stopped && written && reusable(own.Response) && keep > 0 {
		e.pool.keepIdle(e.target.Incarnation(), e.conn, keep)
		return
	}
	discard(e.conn)
}

// reusable reports whether a target lets a connection be used again after an answer.
func reusable(response *http.Response) bool {
	return network.FramingOf(response) != network.FramedByClose && !response.Close
}
