package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"

	"quaydock/pkg/advisory"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/declaration"
	"quaydock/pkg/eventstream"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/resume"
	"quaydock/pkg/telemetry"
)

// errNotReached means that no byte of the request was written to the target.
var errNotReached = errors.New("the target was not reached")

// errNotResumed means that no connection was made to resume an answer. It is never errNotReached: the target has
// received the request.
var errNotResumed = errors.New("no connection to the target to resume the answer")

const (
	// headerTargetRequest carries the request id to the target.
	headerTargetRequest = "X-Request-Id"
	// pathStreams is where a target that supports resuming keeps its answers: GET with a Range resumes one, DELETE
	// cancels it.
	pathStreams = "/streams/"
	// targetDial limits the time for making a connection to the target.
	targetDial = clock.Second
	// cancelTimeout limits the call that cancels a request at the target.
	cancelTimeout = 2 * clock.Second
	// maxResumes is how many times in a row an answer that breaks off is resumed.
	maxResumes = 5
	// resumeBackoff is the pause before the first resume; it doubles with each further break in a row.
	resumeBackoff = 50 * clock.Millisecond
)

// targetClient sends requests to the one target of an agent.
type targetClient struct {
	common.Common
	transport *http.Transport
	declared  atomic.Pointer[declaration.Target] // nil until the target has been declared
	onBackoff func(remaining clock.Millis)       // called when the target asks for a back-off
}

// newTargetClient returns a client. It calls onBackoff when the target asks for a back-off.
func newTargetClient(c common.Common, onBackoff func(remaining clock.Millis)) *targetClient {
	t := &targetClient{Common: c, onBackoff: onBackoff}
	t.transport = network.NewTransport(c.Network, network.TransportOptions{
		DialTimeout: targetDial,
		DialError:   errNotReached,
		SingleUse:   true, // answers do not name their requests; the target is on the same VM
		Wrap:        func(conn net.Conn) net.Conn { return &countingConn{Conn: conn} },
	})
	return t
}

// set stores the target's declaration.
func (t *targetClient) set(declared declaration.Target) {
	t.declared.Store(&declared)
}

func (t *targetClient) close() {
	t.transport.CloseIdleConnections()
}

// countingConn counts the writes that have begun, so that after an error it is known whether the target can have
// received anything of a request.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts before it writes: a write that fails may still have arrived.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// attempt tracks one request on its connection.
type attempt struct {
	conn         *countingConn // nil until the request has a connection
	writesBefore int64         // the number of writes that had begun on it before the request
}

// trace returns the hook that records the connection once the request has one.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.conn, _ = info.Conn.(*countingConn)
		if a.conn != nil {
			a.writesBefore = a.conn.writes.Load()
		}
	}}
}

// untouched reports whether a connection was made and nothing of the request was written to it. The result is valid
// only after an error that closed the connection.
func (a *attempt) untouched() bool {
	return a.conn != nil && a.conn.writes.Load() == a.writesBefore
}

// run sends one call to the target, writes its answer to log, and returns nil if the answer is complete. An error
// that is errNotReached means that the target has received nothing of the call.
func (t *targetClient) run(ctx context.Context, c call, log *answerLog) error {
	target := t.declared.Load()
	if target == nil {
		return fmt.Errorf("target not declared: %w", errNotReached)
	}
	p := &progress{log: log, needsClosingEvent: c.model, ended: func() bool { return t.hasEnded(ctx, target) }}
	streak := resume.NewBreakStreak(maxResumes, t.Clock.Now())
	response, err := t.send(ctx, target, c)
	if errors.Is(err, errNotReached) {
		return err
	}
	if err == nil {
		err = p.copyFrom(response)
	}
	for err != nil && target.Resumes && ctx.Err() == nil {
		// The last argument says that there was a connection on which the answer went on, so that its time counts.
		breaks, again := streak.Broke(t.Clock.Now(), p.size, !errors.Is(err, errNotResumed) && !errors.Is(err, errBrokenOff))
		if !again {
			break
		}
		t.Metrics.Links.Add("target_resumes", 1)
		clock.Pause(ctx, resumeBackoff<<(breaks-1))
		streak.Begin(t.Clock.Now())
		err = t.resume(ctx, target, c.request, p)
	}
	if ctx.Err() != nil && target.Resumes {
		t.cancelAtTarget(target, c.request)
	}
	return err
}

// send makes the one request that is ever made for a call.
func (t *targetClient) send(ctx context.Context, target *declaration.Target, c call) (*http.Response, error) {
	var tried attempt
	ctx = httptrace.WithClientTrace(ctx, tried.trace())
	// The body hides its type, so that the transport cannot read it again and repeat the request on its own. This
	// also covers empty bodies and methods that it would take to be repeatable.
	request, err := http.NewRequestWithContext(ctx, c.method, target.Address+c.path, onceReader{bytes.NewReader(c.body)})
	if err != nil {
		return nil, fmt.Errorf("building the call: %w: %w", errNotReached, err)
	}
	request.ContentLength = int64(len(c.body))
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header[headerTargetRequest] = []string{string(c.request)}
	if parent := telemetry.TraceParent(ctx); parent != "" {
		request.Header.Set(control.HeaderTrace, parent)
	}
	response, err := t.transport.RoundTrip(request)
	switch {
	case err == nil:
		return t.checkAnswer(response)
	case errors.Is(err, errNotReached), ctx.Err() == nil && tried.untouched():
		return nil, fmt.Errorf("calling the target: %w: %w", errNotReached, err)
	default:
		return nil, fmt.Errorf("calling the target: %w", err)
	}
}

// checkAnswer returns the response to a call, or an error if it is no answer.
func (t *targetClient) checkAnswer(response *http.Response) (*http.Response, error) {
	if err := network.CheckFinal(response); err != nil {
		_ = response.Body.Close() // nothing of it is used
		return nil, fmt.Errorf("calling the target: %w", err)
	}
	t.reportBackoff(response)
	return response, nil
}

// hasEnded reports whether the target's process has ended: its address refuses connections. A target that can't be
// reached for another reason counts as running.
func (t *targetClient) hasEnded(ctx context.Context, target *declaration.Target) bool {
	address, err := url.Parse(target.Address)
	if err != nil {
		return false // the call has reached it
	}
	ctx, stop := context.WithTimeout(ctx, targetDial.Duration())
	defer stop()
	conn, err := t.Network.Dial(ctx, address.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// reportBackoff calls onBackoff if a target that rejects a call asks for a back-off.
func (t *targetClient) reportBackoff(response *http.Response) {
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return
	}
	if backoff := advisory.ReadBackoff(response.Header); backoff > 0 {
		t.onBackoff(backoff)
	}
}

// onceReader is a body that can be read only once, as its type has no other method than Read and Close.
type onceReader struct{ io.Reader }

// Close does nothing.
func (onceReader) Close() error { return nil }

// resume continues an answer that broke off, from the byte after the last one received. The error is errNotResumed if
// no connection was made, and errBrokenOff if the target refused.
func (t *targetClient) resume(ctx context.Context, target *declaration.Target, id ids.Request, p *progress) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.Address+pathStreams+string(id), nil)
	if err != nil {
		return fmt.Errorf("building the resume: %w", err)
	}
	request.Header.Set("Range", "bytes="+strconv.FormatInt(p.size, 10)+"-")
	response, err := t.transport.RoundTrip(request)
	if errors.Is(err, errNotReached) {
		return fmt.Errorf("resuming at the target: %w: %s", errNotResumed, err.Error())
	}
	if err != nil {
		return fmt.Errorf("resuming at the target: %w", err)
	}
	if response.StatusCode != http.StatusPartialContent {
		_ = response.Body.Close()
		return fmt.Errorf("resuming at the target: status %d: %w", response.StatusCode, errBrokenOff)
	}
	if stated := response.Header.Get("Content-Range"); !beginsAt(stated, p.size) {
		_ = response.Body.Close()
		t.Metrics.Links.Add("target_resumes_elsewhere", 1)
		return fmt.Errorf("resuming at the target: range %q, not from byte %d: %w", stated, p.size, errBrokenOff)
	}
	return p.copyFrom(response)
}

// beginsAt reports whether a Content-Range names a part that begins at a byte. Targets need not send one.
func beginsAt(contentRange string, offset int64) bool {
	if contentRange == "" {
		return true
	}
	text, _, _ := strings.Cut(strings.TrimPrefix(contentRange, "bytes "), "-")
	first, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	return err == nil && first == offset
}

// cancelAtTarget has the target stop work that nobody waits for.
func (t *targetClient) cancelAtTarget(target *declaration.Target, id ids.Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target.Address+pathStreams+string(id), nil)
	if err != nil {
		return
	}
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		t.Log.WithError(err).Debug("cancelling a request at the target failed")
		return
	}
	_ = response.Body.Close()
}

// progress is the state of an answer over all its connections.
type progress struct {
	log               *answerLog
	size              int64 // bytes received so far
	begun             bool  // the header has been written to the log
	needsClosingEvent bool  // an event stream must end with the closing event
	events            bool  // the answer is an event stream
	stream            eventstream.Tracker
	// ended reports whether the target's process has ended.
	ended func() bool
}

// closingLine is the last line of a stream's last event in the OpenAI form.
const closingLine = "data: [DONE]\n"

// copyFrom copies one response to its end. It returns nil if the answer is complete.
func (p *progress) copyFrom(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	p.begin(response)
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if logErr := p.add(buffer[:n]); logErr != nil {
				return logErr
			}
		}
		if err == io.EOF {
			return p.checkEnd(network.FramingOf(response))
		}
		if err != nil {
			return fmt.Errorf("reading the answer: %w", err)
		}
	}
}

// begin writes the target's header to the log, once. A resume from the first byte on replaces the answer whose
// header was lost; its status 206 then stands for 200.
func (p *progress) begin(response *http.Response) {
	if p.begun {
		return
	}
	p.begun = true
	status := response.StatusCode
	if status == http.StatusPartialContent {
		status = http.StatusOK
	}
	header := passHeader(response.Header)
	p.events = strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
	p.log.begin(status, header)
}

// add appends bytes to the log; see answerLog.append for its error.
func (p *progress) add(b []byte) error {
	p.size += int64(len(b))
	if p.events {
		p.stream.Add(b)
	}
	return p.log.append(b)
}

// checkEnd returns nil if an answer is complete that has ended in good order as far as its connection shows. An engine
// that stops may end an event stream so, and the kernel closes the connections of a process that has ended.
func (p *progress) checkEnd(framing network.Framing) error {
	switch {
	case p.events && p.stream.InsideEvent():
		return fmt.Errorf("event stream ended inside an event: %w", errBrokenOff)
	case p.events && p.needsClosingEvent && !p.closed():
		return fmt.Errorf("event stream without its closing event: %w", errBrokenOff)
	case framing == network.FramedByClose && p.ended():
		return fmt.Errorf("connection closed by the end of the target's process: %w", errBrokenOff)
	}
	return nil
}

// closed reports whether the last event of a stream was the closing one, which may have other fields too.
func (p *progress) closed() bool {
	lines := strings.SplitAfter(string(p.stream.LastEvent()), "\n")
	return slices.Contains(lines, closingLine)
}

// passHeader returns the header without the fields that belong to the connection with the target or to a resume
// (Content-Range), and without Date, which the entry's HTTP server sets.
func passHeader(h http.Header) http.Header {
	passed := make(http.Header, len(h))
	for name, values := range h {
		switch name {
		case "Connection", "Keep-Alive", "Trailer", "Transfer-Encoding", "Upgrade", "Date", "Content-Range":
		default:
			passed[name] = values
		}
	}
	return passed
}
