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

// pathServices is followed by the name of a plain service and the path that its target is sent.
const pathServices = "/services/"

// plainDecode is the work, in decode tokens, that one call of a plain service counts for.
const plainDecode = 64

// handler returns the HTTP handler for callers.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChat, e.serveModel(openai.ReadChat))
	mux.HandleFunc("POST "+openai.PathCompletions, e.serveModel(openai.ReadCompletion))
	mux.HandleFunc("GET "+openai.PathModels, e.listModels)
	mux.HandleFunc(pathServices, e.servePlain)
	mux.HandleFunc("/", e.notFound)
	return mux
}

// arrival is what arrive finds out about a call before its body is read.
type arrival struct {
	id      ids.Request
	index   *declaration.Index // the configuration on arrival, by which the whole request is checked; nil if there is none
	options callOptions
}

// arrive gives the request its id, limits the time for reading its body, and checks the caller's options. If it
// returns a refusal, only the id of the arrival is certain to be set.
func (e *Entry) arrive(w http.ResponseWriter, r *http.Request) (arrival, *refusal.Refusal) {
	setBodyDeadline(w, e.settings.Limits)
	a := arrival{id: ids.NewRequest(), index: e.index()}
	w.Header()[HeaderRequestID] = []string{string(a.id)}
	if a.index == nil {
		return a, refusal.Starting()
	}
	t, bad := readOptions(a.index, r.Header, e.settings.Limits)
	a.options = t
	return a, bad
}

// notFound refuses a path that is not served. It checks no API key.
func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	setBodyDeadline(w, e.settings.Limits)
	w.Header()[HeaderRequestID] = []string{string(ids.NewRequest())}
	e.refuse(newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS), "", refusal.NotFound(r.Method, r.URL.Path))
}

// listModels answers with the names of all models of the configuration.
func (e *Entry) listModels(w http.ResponseWriter, r *http.Request) {
	a, bad := e.arrive(w, r)
	if bad != nil {
		e.refuse(newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS), a.id, bad)
		return
	}
	var names []ids.Service
	for _, s := range a.index.Services() {
		if s.Kind == declaration.ServiceModel {
			names = append(names, s.Name)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller may have disconnected.
	_ = json.NewEncoder(w).Encode(openai.NewModelList(names))
}

// serveModel serves a call of a model; read extracts from the body what routing needs.
func (e *Entry) serveModel(read func([]byte) (openai.Call, *refusal.Refusal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, func(a arrival, body []byte) (*request, *refusal.Refusal) {
			call, bad := read(body)
			if bad != nil {
				return nil, bad
			}
			service := a.index.Service(call.Model)
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

// servePlain serves a call of a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	e.serve(w, r, func(a arrival, _ []byte) (*request, *refusal.Refusal) {
		rest := strings.TrimPrefix(r.URL.EscapedPath(), pathServices)
		name, path, _ := strings.Cut(rest, "/")
		service := a.index.Service(ids.Service(name))
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

// buildRequest makes the request of one kind of call from its body, without the fields that serve and complete set.
type buildRequest func(a arrival, body []byte) (*request, *refusal.Refusal)

// serve handles one call from arrival to its end.
func (e *Entry) serve(w http.ResponseWriter, r *http.Request, describe buildRequest) {
	out := newAnswerWriter(w, e.settings.Limits.WriteTimeoutMS)
	a, bad := e.arrive(w, r)
	if bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	if bad := e.use.enter(a.options); bad != nil {
		e.refuse(out, a.id, bad)
		return
	}
	defer e.use.leave(a.options)
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

// complete sets the fields that are the same for all kinds of call.
func (e *Entry) complete(made *request, a arrival) {
	made.id = a.id
	made.account = a.options.account.Name
	made.key = a.options.key
	made.weight = a.options.account.Weight
	made.tier = a.options.tier
	made.deadline = e.Clock.Now() + a.options.deadline
	made.check = e.Check
	// Each placed ticket has one event, and no more than this many are placed at a time.
	made.events = make(chan ticketEvent, e.settings.TicketsPerRequest)
}

// run serves a request up to its deadline. It reports to the caller why there is no complete answer, or breaks the
// connection of a caller that seems to have disconnected.
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
		e.Check.Verify(why.Outcome != refusal.NotRun || r.state.MayReportNotRun(), invariant.NotRunIsTrue,
			"request %s reported as not run in state %v", r.id, r.state)
		e.refuse(out, r.id, why)
	case r.state != lifecycle.Answered:
		// The caller seems to have disconnected. If it has not, an empty or broken-off answer must not be taken
		// for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// refuse counts and logs a refusal and sends it to the caller. It panics as answerWriter.refuse does if that is not
// possible any more.
func (e *Entry) refuse(out *answerWriter, id ids.Request, why *refusal.Refusal) {
	e.Metrics.Refusals.Add(string(why.Code), 1)
	e.Log.WithField(telemetry.FieldRequest, string(id)).WithField("code", string(why.Code)).Info(why.Message)
	out.refuse(why)
}
