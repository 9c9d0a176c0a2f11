package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/invariant"
	"quaydock/pkg/lifecycle"
	"quaydock/pkg/network"
	"quaydock/pkg/refusal"
	"quaydock/pkg/telemetry"
)

const (
	// copyBytes is the size of the buffers that answers are relayed through.
	copyBytes = 16 << 10
	// maxIdleStreams is how many connections to one agent are kept for reuse.
	maxIdleStreams = 512
	// idleStreamTimeout is how long such a connection is kept without use.
	idleStreamTimeout = 60 * clock.Second
)

// exchange sends a bound request to its agent and relays the answer.
type exchange struct {
	common.Common
	transport *http.Transport
	buffers   sync.Pool // of *[copyBytes]byte
}

// errNotSent marks an error that occurred before the first byte was sent.
var errNotSent = errors.New("no connection was made")

func newExchange(c common.Common, dialTimeout clock.Millis) *exchange {
	x := &exchange{Common: c}
	x.buffers.New = func() any { return new([copyBytes]byte) }
	x.transport = network.NewTransport(c.Network, network.TransportOptions{
		DialTimeout: dialTimeout,
		DialError:   errNotSent,
		IdlePerHost: maxIdleStreams,
		IdleAfter:   idleStreamTimeout,
	})
	return x
}

// dispatch sends the body for the grant, once. Whatever fails, it is not sent again on this grant.
func (x *exchange) dispatch(ctx context.Context, r *request, bound granted, out *answerWriter) exchangeResult {
	ctx, span := x.Tracer.Start(ctx, "entry.dispatch")
	defer span.End()
	call, err := x.newCall(ctx, r, bound, http.MethodPost, control.PathDispatch, bytes.NewReader(r.body))
	if err != nil {
		return broken{err}
	}
	// Without GetBody the transport cannot repeat the request on its own.
	call.GetBody = nil
	call.ContentLength = int64(len(r.body))
	for name, values := range r.header {
		call.Header[control.PassPrefix+name] = values
	}
	call.Header.Set(control.HeaderMethod, r.method)
	call.Header.Set(control.HeaderPath, r.path)
	if r.model {
		call.Header.Set(control.HeaderModel, "1")
	}
	r.become(lifecycle.Sent)
	response, err := x.transport.RoundTrip(call)
	if errors.Is(err, errNotSent) {
		bound.session.returnGrant(r.id, bound.attempt)
		r.become(lifecycle.Waiting)
		return neverDispatched{}
	}
	if err != nil {
		return broken{fmt.Errorf("sending the request to the agent: %w", err)}
	}
	return x.receive(r, bound, response, out, refusal.Unknown())
}

// resume requests the rest of an answer that broke off.
func (x *exchange) resume(ctx context.Context, r *request, bound granted, out *answerWriter) exchangeResult {
	x.Metrics.Links.Add("resumes", 1)
	call, err := x.newCall(ctx, r, bound, http.MethodGet, control.PathAnswer, nil)
	if err != nil {
		return broken{err}
	}
	call.Header.Set(control.HeaderOffset, strconv.FormatInt(out.received, 10))
	response, err := x.transport.RoundTrip(call)
	if err != nil {
		return broken{fmt.Errorf("resuming the answer at the agent: %w", err)}
	}
	return x.receive(r, bound, response, out, refusal.AnswerCut()) // the agent has reported that it ran
}

// newCall builds a call of the agent's data port, with headers that name the request and its grant.
func (x *exchange) newCall(ctx context.Context, r *request, bound granted, method, path string, body io.Reader) (*http.Request, error) {
	call, err := http.NewRequestWithContext(ctx, method, "http://"+bound.session.dataAt+path, body)
	if err != nil {
		return nil, fmt.Errorf("building the call: %w", err)
	}
	call.Header["User-Agent"] = nil // not needed between quaydock's processes
	call.Header[control.HeaderRequest] = []string{string(r.id)}
	call.Header[control.HeaderGrant] = []string{bound.grant.String()}
	if parent := telemetry.TraceParent(ctx); parent != "" {
		call.Header[control.HeaderTrace] = []string{parent}
	}
	return call, nil
}

// receive relays one response of the agent; gone is what the caller gets if the agent no longer has the answer.
func (x *exchange) receive(r *request, bound granted, response *http.Response, out *answerWriter, gone *refusal.Refusal) exchangeResult {
	defer func() { _ = response.Body.Close() }()
	own := response.Header.Get(control.HeaderRequest) == string(r.id) &&
		response.Header.Get(control.HeaderGrant) == bound.grant.String()
	x.Check.Verify(own, invariant.OwnAnswer, "request %s got the answer of %q", r.id, response.Header.Get(control.HeaderRequest))
	if !own {
		return broken{jujuerrors.NotValidf("answer of another request or grant")}
	}
	if response.StatusCode != http.StatusOK {
		return x.refused(r, response, gone)
	}
	if r.state == lifecycle.Sent {
		r.become(lifecycle.Dispatched)
	}
	if !out.started() {
		if err := out.begin(response.Header, r.model); err != nil {
			return broken{err}
		}
	}
	answerRetention := x.startRetention(r.id, bound, out)
	defer answerRetention.stop()
	return x.relay(response, out)
}

// refused interprets the agent's report that there is no answer: the grant was not used, the answer is no longer kept,
// or neither is known.
func (x *exchange) refused(r *request, response *http.Response, gone *refusal.Refusal) exchangeResult {
	fate := response.Header.Get(control.HeaderFate)
	if fate == control.FateNeverDispatched && r.state == lifecycle.Sent {
		r.become(lifecycle.Waiting)
		return neverDispatched{}
	}
	if response.StatusCode == http.StatusGone {
		return ended{gone}
	}
	return broken{fmt.Errorf("agent refused the call with status %d", response.StatusCode)}
}

// relay copies the answer to the caller and checks the end marker.
func (x *exchange) relay(response *http.Response, out *answerWriter) exchangeResult {
	buffer := x.buffers.Get().(*[copyBytes]byte)
	defer x.buffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if writeErr := out.write(buffer[:n]); writeErr != nil {
				return callerLeft{}
			}
		}
		if err == io.EOF {
			return finish(response, out)
		}
		if err != nil {
			return broken{fmt.Errorf("reading the answer: %w", err)}
		}
	}
}

// finish ends a complete answer. The end marker states the answer's length in bytes, so that an answer with a part
// missing is not taken for a complete one.
func finish(response *http.Response, out *answerWriter) exchangeResult {
	marker := response.Trailer.Get(control.TrailerEnd)
	size, err := strconv.ParseInt(strings.TrimSpace(marker), 10, 64)
	if err != nil || size != out.received {
		return broken{jujuerrors.NotValidf("end marker %q after %d bytes", marker, out.received)}
	}
	if err := out.finish(); err != nil {
		return callerLeft{}
	}
	return answered{}
}

// close closes the idle connections.
func (x *exchange) close() {
	x.transport.CloseIdleConnections()
}

// writeDeadline limits one write to a caller that begins now, and returns the present time in Unix milliseconds.
func writeDeadline(controller *http.ResponseController, limit clock.Millis) (now clock.Millis) {
	at := time.Now()
	// The error is ignored: writers of tests may have no deadlines, and no slow reader either.
	_ = controller.SetWriteDeadline(at.Add(limit.Duration()))
	return clock.Millis(at.UnixMilli())
}
