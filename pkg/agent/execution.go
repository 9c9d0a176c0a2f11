package agent

import (
	"context"
	"errors"
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
)

// call is the request that the target is sent.
type call struct {
	request ids.Request
	method  string
	path    string      // with the query
	header  http.Header // as the target is sent it
	body    []byte
	// model marks a call of a model, in the OpenAI form.
	model bool
}

// execution is one dispatched request and its answer.
type execution struct {
	request  ids.Request
	grant    ids.Grant
	answer   *answerLog
	ctx      context.Context // of the work; ends when it is aborted or has ended
	cancel   context.CancelFunc
	neededAt clock.Millis // when the last reader left, or an entry last asked for it; guarded by the agent's lock
}

// startExecution turns a grant into a dispatch, which does not end with ctx: the entry may lose its connection and
// resume. It returns nil and the grant's outcome if the grant may not be used.
func (a *Agent) startExecution(ctx context.Context, grant ids.Grant, c call) (*execution, control.Fate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if !a.gate.Use(now, grant, c.request) {
		fate := a.gate.Fate(now, grant, c.request)
		a.deliverNotices()
		return nil, fate
	}
	a.deliverNotices()
	e := &execution{request: c.request, grant: grant, answer: newAnswerLog(a.settings.AnswerBytes)}
	e.ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	a.executions[grant] = e
	a.running.Go(func() { a.perform(e, c) })
	return e, control.FateDispatched
}

// perform sends the call to the target, frees the grant's slot at the gate, and ends the answer. It is aborted when the
// agent is closed.
func (a *Agent) perform(e *execution, c call) {
	defer e.cancel()
	stop := context.AfterFunc(a.ctx, e.abort)
	defer stop()
	ctx, span := a.Tracer.Start(e.ctx, "agent.target")
	defer span.End()
	err := a.target.run(ctx, c, e.answer)
	reached := !errors.Is(err, errNotReached)
	a.mu.Lock()
	a.gate.Finish(a.Clock.Now(), e.grant, reached)
	a.deliverNotices()
	a.mu.Unlock()
	a.countOutcome(err)
	e.answer.end(err)
	a.keep(e)
}

// countOutcome counts an execution by the error that the target client returned, nil for a complete answer.
func (a *Agent) countOutcome(err error) {
	switch {
	case err == nil:
		a.Metrics.Dispatches.Add("whole", 1)
	case errors.Is(err, errNotReached):
		a.Metrics.Dispatches.Add("not_reached", 1)
	case errors.Is(err, context.Canceled):
		a.Metrics.Dispatches.Add("cancelled", 1)
	default:
		a.Metrics.Dispatches.Add("cut", 1)
	}
	if err != nil {
		a.Log.WithError(err).Info("answer incomplete")
	}
}

// find returns the execution of a grant, or nil if there is none, it is no longer kept, or it is of another request.
func (a *Agent) find(grant ids.Grant, request ids.Request) *execution {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.executions[grant]
	if e == nil || e.request != request {
		return nil
	}
	return e
}

// abort stops the execution and ends its answer as broken off, unless it has ended.
func (e *execution) abort() {
	e.cancel()
	e.answer.end(errBrokenOff)
}
