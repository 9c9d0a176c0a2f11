package agent

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
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
	"quaydock/pkg/telemetry"
)

// relayBytes is the size of the buffers that answers are copied through.
const relayBytes = 8 << 10

// relayBuffers are shared by all streams of the process.
var relayBuffers = sync.Pool{New: func() any { return new([relayBytes]byte) }}

// handler returns the HTTP handler for entries' streams.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+control.PathDispatch, a.dispatch)
	mux.HandleFunc("GET "+control.PathAnswer, a.resume)
	return mux
}

// dispatch accepts a body for a grant and streams the answer.
func (a *Agent) dispatch(w http.ResponseWriter, r *http.Request) {
	grant, ok := a.echo(w, r)
	if !ok {
		return
	}
	c, err := readCall(r, a.settings.BodyBytes)
	if err != nil {
		// The body is incomplete, so the grant stays unused.
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx := telemetry.WithTraceParent(r.Context(), r.Header.Get(control.HeaderTrace))
	started, fate := a.startExecution(ctx, grant, c)
	if started == nil {
		a.refuse(w, grant, fate)
		return
	}
	a.stream(w, r, started, 0)
}

// resume streams the rest of an answer to an entry that has its beginning. If it is no longer kept, the status is 410.
func (a *Agent) resume(w http.ResponseWriter, r *http.Request) {
	grant, ok := a.echo(w, r)
	if !ok {
		return
	}
	offset, err := strconv.ParseInt(r.Header.Get(control.HeaderOffset), 10, 64)
	if err != nil || offset < 0 {
		http.Error(w, "offset", http.StatusBadRequest)
		return
	}
	kept := a.find(grant, ids.Request(r.Header.Get(control.HeaderRequest)))
	if kept == nil || !kept.answer.resumable(offset) {
		w.WriteHeader(http.StatusGone)
		return
	}
	a.Metrics.Links.Add("resumed", 1)
	a.stream(w, r, kept, offset)
}

// echo reads the grant, and names request and grant in the response, so that an entry can detect an answer that is
// not its own. If one of them is missing or invalid, it refuses the call and returns false.
func (a *Agent) echo(w http.ResponseWriter, r *http.Request) (ids.Grant, bool) {
	text := r.Header.Get(control.HeaderGrant)
	grant, err := ids.ParseGrant(text)
	if err != nil || r.Header.Get(control.HeaderRequest) == "" {
		http.Error(w, "request and grant are required", http.StatusBadRequest)
		return ids.Grant{}, false
	}
	w.Header()[control.HeaderRequest] = r.Header[control.HeaderRequest]
	w.Header()[control.HeaderGrant] = []string{text}
	return grant, true
}

// refuse reports to an entry that its grant was not used. A grant of an earlier incarnation of the agent is never
// used either: its entry sends a body only once, and this body has come here. Where neither is certain, the response
// does not name the outcome, and the entry queries it.
func (a *Agent) refuse(w http.ResponseWriter, grant ids.Grant, fate control.Fate) {
	if fate == control.FateNever || grant.Agent != a.incarnation {
		w.Header().Set(control.HeaderFate, control.FateNeverDispatched)
	}
	a.Metrics.Dispatches.Add("refused", 1)
	w.WriteHeader(http.StatusConflict)
}

// stream copies an answer from offset on, with the end marker behind a complete one. Any other end breaks the
// connection.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, from *execution, offset int64) {
	reader := from.answer.attach()
	stop := context.AfterFunc(r.Context(), func() { from.answer.interrupt(reader) })
	defer stop()
	defer a.release(from, reader)
	status, header, err := from.answer.awaitHeader(reader)
	if err != nil {
		a.refuseUnanswered(w, from, err)
		return
	}
	h := w.Header()
	for name, values := range header {
		h[control.PassPrefix+name] = values
	}
	h[control.HeaderStatus] = []string{strconv.Itoa(status)}
	h["Trailer"] = []string{control.TrailerEnd}
	h["Date"] = nil // not needed between quaydock's processes
	w.WriteHeader(http.StatusOK)
	size, err := a.relay(w, from, reader, offset)
	if !errors.Is(err, io.EOF) {
		panic(http.ErrAbortHandler)
	}
	h.Set(control.TrailerEnd, strconv.FormatInt(size, 10))
}

// refuseUnanswered ends a stream whose target sent no header.
func (a *Agent) refuseUnanswered(w http.ResponseWriter, from *execution, err error) {
	if errors.Is(err, errNotReached) {
		a.refuse(w, from.grant, control.FateNever)
		return
	}
	w.WriteHeader(http.StatusGone)
}

// release detaches a reader. If no other attaches within the time set for resumes, the work is aborted.
func (a *Agent) release(from *execution, reader int) {
	departures, without := from.answer.detach(reader)
	a.markNeeded(from)
	if !without || from.answer.ended() {
		return
	}
	time.AfterFunc(a.settings.ResumeWaitMS.Duration(), func() {
		// The next reader may have come and lost its connection too; it then has a time of its own.
		if from.answer.abandoned(departures) {
			from.abort()
		}
	})
}

// markNeeded records that the answer was needed just now, from which the time for a resume counts.
func (a *Agent) markNeeded(from *execution) {
	a.mu.Lock()
	defer a.mu.Unlock()
	from.neededAt = a.Clock.Now()
}

// relay copies until the answer's end, which is io.EOF for a complete one. It returns the offset reached. It waits
// a little between two writes so that tokens gather: each write costs a system call here and two at the entry.
func (a *Agent) relay(w http.ResponseWriter, from *execution, reader int, offset int64) (int64, error) {
	buffer := relayBuffers.Get().(*[relayBytes]byte)
	defer relayBuffers.Put(buffer)
	flusher := http.NewResponseController(w)
	var flushed clock.Millis
	for {
		n, drained, err := from.answer.next(reader, offset, buffer[:])
		if err != nil {
			return offset, err
		}
		offset += int64(n)
		if _, err := w.Write(buffer[:n]); err != nil {
			return offset, fmt.Errorf("writing to the entry: %w", err)
		}
		if !drained {
			continue
		}
		clock.Pause(from.ctx, flushed+a.settings.CoalesceMS-a.Clock.Now())
		if from.answer.hasMore(offset) {
			continue
		}
		flushed = a.Clock.Now()
		if err := flusher.Flush(); err != nil {
			return offset, fmt.Errorf("writing to the entry: %w", err)
		}
	}
}

// readCall reads the call for the target, whose body may have up to limit bytes. The complete body is read before the
// grant is used, so that a request broken off on its way here does not run.
func readCall(r *http.Request, limit int64) (call, error) {
	var body bytes.Buffer
	if r.ContentLength > limit {
		return call{}, jujuerrors.NotValidf("body above %d bytes", limit)
	}
	if r.ContentLength > 0 {
		body.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(io.LimitReader(r.Body, limit+1)); err != nil {
		return call{}, fmt.Errorf("reading the body: %w", err)
	}
	if int64(body.Len()) > limit {
		return call{}, jujuerrors.NotValidf("body above %d bytes", limit)
	}
	c := call{
		request: ids.Request(r.Header.Get(control.HeaderRequest)),
		method:  r.Header.Get(control.HeaderMethod),
		path:    r.Header.Get(control.HeaderPath),
		header:  make(http.Header),
		body:    body.Bytes(),
		model:   r.Header.Get(control.HeaderModel) != "",
	}
	for name, values := range r.Header {
		if passed, own := strings.CutPrefix(name, control.PassPrefix); own {
			c.header[passed] = values
		}
	}
	return c, nil
}
