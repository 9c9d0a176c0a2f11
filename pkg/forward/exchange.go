package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/routing"
)

// errStray says that a target kept answering other requests.
var errStray = errors.New("answers to other requests only")

// exchange is one request on one connection.
type exchange struct {
	pool     *Pool
	target   *routing.Target
	conn     *connection
	request  *Request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	sentAt   clock.Millis
	stop     func() bool  // takes back the closing at the end of the context
	written  atomic.Int64 // bytes of the request
	writeEnd chan error
}

// Send makes one exchange. When ctx ends, or the target has started again, the connection is
// closed.
func (p *Pool) Send(ctx context.Context, t *routing.Target, r *Request) Result {
	if p.withholds(t) {
		return Withheld{}
	}
	e := &exchange{pool: p, target: t, request: r, writeEnd: make(chan error, 1)}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	if !p.enter(t.Incarnation(), e) {
		e.cancel(nil)
		return unreached(t, ErrReplaced)
	}
	if err := e.connect(); err != nil {
		err = e.cause(err)
		e.leave()
		return unreached(t, err)
	}
	if p.withholds(t) { // once more: making the connection may have taken a third of a second
		e.leave()
		discard(e.conn)
		return Withheld{}
	}
	e.stop = context.AfterFunc(e.ctx, func() { _ = e.conn.SetDeadline(time.Unix(1, 0)) })
	e.sentAt = p.Clock.Now()
	go e.write()
	return e.read()
}

// withholds reports whether a target has told this entry to send nothing, or its failure domain is drained. It is
// asked here, where each way to a target ends, since whoever gave the place may not have heard of it.
func (p *Pool) withholds(t *routing.Target) bool {
	if !p.advice.Status(t.Incarnation()).Blocks() && !p.drained(t.ID) {
		return false
	}
	p.Metrics.Links.Add("requests_withheld", 1)
	return true
}

// connect takes a connection. One that was made while the target started again may lead to its
// new life, which is not to run what was counted in the former one.
func (e *exchange) connect() error {
	e.conn = e.pool.take(e.target.Incarnation())
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

// leave takes the exchange off the pool's list and ends its context.
func (e *exchange) leave() {
	e.pool.leave(e.target.Incarnation(), e)
	e.cancel(nil)
}

// cause returns why an exchange failed: ErrReplaced if the target has started again, or else err. An
// error of the connection would only say that it was closed at this end.
func (e *exchange) cause(err error) error {
	if errors.Is(context.Cause(e.ctx), ErrReplaced) {
		return ErrReplaced
	}
	return err
}

// write sends the request. It runs beside the reading, since a target may
// answer before it has read a long body.
func (e *exchange) write() {
	var head bytes.Buffer
	r := e.request
	head.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	err := r.Header.Write(&head)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(r.Body)
	if err == nil {
		var n int
		n, err = e.conn.Write(head.Bytes())
		e.written.Store(int64(n))
	}
	e.writeEnd <- err
}

func (e *exchange) read() Result {
	for range maxStrays {
		response, err := e.head()
		if err != nil {
			return e.failed(err)
		}
		marks := e.pool.marks(response.Header)
		if marks.ID != "" && marks.ID != e.request.ID {
			if err := e.passOver(response); err != nil {
				return e.failed(err)
			}
			continue
		}
		e.hear(response, &marks)
		if marks.NotRun || response.StatusCode == http.StatusMisdirectedRequest {
			return e.declined(response, marks)
		}
		return e.answer(response, marks)
	}
	return e.failed(errStray)
}

// hear takes what an answer says of its target. One of another process at the address says nothing of the
// target, and only one that turns a request away asks for rest: elsewhere the field has other meanings.
func (e *exchange) hear(response *http.Response, marks *AnswerMetadata) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	advice := advisory.Advice{Leaving: marks.Leaving, Limit: marks.Limit, RequestedAt: e.sentAt}
	if response.StatusCode == http.StatusServiceUnavailable {
		advice.Backoff = marks.Backoff
	}
	if !advice.Empty() {
		advice.SentAt = advisory.ReadDate(response.Header)
	}
	e.pool.advice.Observe(e.target.Incarnation(), e.conn.madeAt, e.request.ID, advice)
}

// head reads the head of the next answer that is not an interim one.
func (e *exchange) head() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, fmt.Errorf("reading the head: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// passOver skips an answer that belongs to another request.
func (e *exchange) passOver(response *http.Response) error {
	e.pool.Metrics.Links.Add("stray_answers", 1)
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errStray // its end is the connection's
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("passing over an answer: %w", err)
	}
	return nil
}

// failed ends an exchange without an answer. Only if the write itself failed
// before its first byte is it sure that nothing was sent.
func (e *exchange) failed(err error) Result {
	err = e.cause(err)
	e.stop()
	e.leave()
	discard(e.conn)
	writeErr := <-e.writeEnd
	if writeErr != nil && e.written.Load() == 0 {
		return unreached(e.target, writeErr)
	}
	return Broken{fmt.Errorf("target %s, reused connection %t: %w", e.target.ID, e.conn.reused, err)}
}

func (e *exchange) declined(response *http.Response, marks AnswerMetadata) Result {
	_, err := io.Copy(io.Discard, response.Body)
	e.finish(response, err == nil)
	return Declined{Status: response.StatusCode, Load: marks.Load}
}

func (e *exchange) answer(response *http.Response, marks AnswerMetadata) Result {
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Load:   marks.Load,
		body:   &body{exchange: e, response: response},
	}
}

// finish ends an exchange whose answer has been read; the connection is kept
// if both sides are through with it.
func (e *exchange) finish(response *http.Response, whole bool) {
	stopped := e.stop()
	e.leave()
	written := false
	select {
	case err := <-e.writeEnd:
		written = err == nil
	default: // the rest of a body is still due on this connection
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keep := keepFor(response.Header)
	if whole && stopped && written && framed && !response.Close && keep > 0 {
		e.pool.rest(e.target.Incarnation(), e.conn, keep)
		return
	}
	discard(e.conn)
}

// body is the body of an answer.
type body struct {
	exchange *exchange
	response *http.Response
	ended    bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.exchange.cause(err)
	}
	if err != nil && !b.ended {
		b.ended = true
		b.exchange.finish(b.response, errors.Is(err, io.EOF))
	}
	return n, err
}

func (b *body) close() {
	if !b.ended {
		b.ended = true
		b.exchange.finish(b.response, false)
	}
}
