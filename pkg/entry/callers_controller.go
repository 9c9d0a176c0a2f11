package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
	"quaydock/pkg/lifecycle"
	"quaydock/pkg/openai"
	"quaydock/pkg/refusal"
	"quaydock/pkg/telemetry"
)

const pathServices = "/services/"

// plainDecode is the work that one call of a plain service counts for.
const plainDecode = 64

// handler returns the callers' interface.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChat, e.model(openai.ReadChat))
	mux.HandleFunc("POST "+openai.PathCompletions, e.model(openai.ReadCompletion))
	mux.HandleFunc("GET "+openai.PathModels, e.models)
	mux.HandleFunc(pathServices, e.plain)
	mux.HandleFunc("/", e.nothing)
	return mux
}

// arrival is what every handler begins with.
type arrival struct {
	id    ids.Request
	book  *declaration.Index
	terms terms
}

// arrive gives the request its id and checks the caller's terms.
func (e *Entry) arrive(w http.ResponseWriter, r *http.Request) (arrival, *refusal.Refusal) {
	boundBody(w, e.settings.Limits)
	a := arrival{id: ids.NewRequest(), book: e.book()}
	w.Header()[HeaderRequestID] = []string{string(a.id)}
	if a.book == nil {
		return a, refusal.Starting()
	}
	t, bad := readTerms(a.book, r.Header, e.settings.Limits)
	a.terms = t
	return a, bad
}

func (e *Entry) nothing(w http.ResponseWriter, r *http.Request) {
	boundBody(w, e.settings.Limits)
	w.Header()[HeaderRequestID] = []string{string(ids.NewRequest())}
	e.refuse(newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS), "", refusal.NotFound(r.Method, r.URL.Path))
}

func (e *Entry) models(w http.ResponseWriter, r *http.Request) {
	a, bad := e.arrive(w, r)
	if bad != nil {
		e.refuse(newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS), a.id, bad)
		return
	}
	var names []ids.Service
	for _, s := range a.book.Services() {
		if s.Kind == declaration.ServiceModel {
			names = append(names, s.Name)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(openai.NewModelList(names))
}

// model serves a call of a model; read takes what routing needs of its body.
func (e *Entry) model(read func([]byte) (openai.Call, *refusal.Refusal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, func(a arrival, body []byte) (*request, *refusal.Refusal) {
			call, bad := read(body)
			if bad != nil {
				return nil, bad
			}
			service := a.book.Service(call.Model)
			if service == nil || service.Kind != declaration.ServiceModel {
				return nil, refusal.NoModel(string(call.Model))
			}
			return &request{
				service: call.Model,
				prefill: call.Prefill,
				decode:  call.Decode,
				prefix:  call.Prefix,
				path:    r.URL.Path,
				header:  modelHeader(r.Header),
				model:   true,
			}, nil
		})
	}
}

// plain serves a call of a plain service.
func (e *Entry) plain(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(a arrival, _ []byte) (*request, *refusal.Refusal) {
		rest := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
		name, path, _ := strings.Cut(rest, "/")
		service := a.book.Service(ids.Service(name))
		if service == nil || service.Kind != declaration.ServicePlain {
			return nil, refusal.NoService(name)
		}
		path = "/" + path
		if r.URL.RawQuery != "" {
			path += "?" + r.URL.RawQuery
		}
		return &request{
			service: service.Name,
			decode:  plainDecode,
			path:    path,
			header:  plainHeader(r.Header),
		}, nil
	})
}

// describe makes the request of one kind of call from its body.
type describe func(a arrival, body []byte) (*request, *refusal.Refusal)

// serve takes one call from arrival to its end.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, describe describe) {
	out := newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS)
	a, bad := e.arrive(w, r)
	if bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	if bad := e.use.enter(a.terms); bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	defer e.use.leave(a.terms)
	body, bad := readBody(w, r, e.settings.Limits)
	if bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	made, bad := describe(a, body)
	if bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	made.method = r.Method
	made.body = body
	e.complete(made, a)
	e.run(r.Context(), made, out)
}

// complete fills in what is the same for all kinds of call.
func (e *Entry) complete(made *request, a arrival) {
	made.id = a.id
	made.account = a.terms.account.Name
	made.key = a.terms.key
	made.weight = a.terms.account.Weight
	made.tier = a.terms.tier
	made.deadline = e.Clock.Now() + a.terms.deadline
	made.check = e.Check
	// Each ticket that is out has one event; at most so many are out.
	made.events = make(chan ticketEvent, e.settings.TicketsPerRequest)
}

func (e *Entry) run(ctx context.Context, r *request, out *answerWriter) {
	ctx, cancel := context.WithDeadlineCause(ctx, time.UnixMilli(int64(r.deadline)), errDeadline)
	defer cancel()
	ctx, span := e.Tracer.Start(ctx, "entry.request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("quaydock.request", string(r.id)),
			attribute.String("quaydock.service", string(r.service)),
			attribute.Int("quaydock.tier", int(r.tier)),
		)
	}
	why := e.dispatcher.serve(ctx, r, out)
	e.Metrics.Requests.Add(r.state.String(), 1)
	switch {
	case why != nil:
		e.Check.That(why.Outcome != refusal.NotRun || r.state.NotRunMayBeSaid(), invariant.NotRunIsTrue,
			"request %s is told not run in state %v", r.id, r.state)
		e.refuse(out, r.id, why)
	case r.state != lifecycle.Answered:
		// The caller seems to be gone. Should it not be, an empty or cut answer
		// must not pass for a whole one.
		panic(http.ErrAbortHandler)
	}
}

func (e *Entry) refuse(out *answerWriter, id ids.Request, why *refusal.Refusal) {
	e.Metrics.Refusals.Add(string(why.Code), 1)
	e.Log.WithField(telemetry.FieldRequest, string(id)).WithField("code", string(why.Code)).Info(why.Message)
	out.refuse(why)
}
