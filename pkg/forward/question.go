package forward

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/routing"
)

// Times of questions.
const (
	// askTimeout limits how long the end of an answer waits to learn whose it is: a target may let a question wait for a
	// slot. Callers leave a silent stream after 2 s at the earliest.
	askTimeout = clock.Second
	// askPause is the first pause before a question is put again that a target did not answer, or only without its id. Each
	// further one is twice as long.
	askPause = 50 * clock.Millisecond
	// askGap is the shortest time between two questions to a target while the former one has no answer.
	askGap = 50 * clock.Millisecond
)

// question asks a target which process answers at its address. It is put for all answers that ended before it was sent.
type question struct {
	verdict EndVerdict    // read only once done is closed
	done    chan struct{} // closed once there is a verdict
}

// judgeProcess judges the end of an answer by whether the process that sent it still answers.
func (p *Pool) judgeProcess(ctx context.Context, t *routing.Target) EndVerdict {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	q := p.joinQuestion(t)
	select {
	case <-q.done:
	case <-ctx.Done():
		return EndNotKnown
	}
	if p.isReplaced(t) { // two incarnations may have the same id
		return EndReplaced
	}
	return q.verdict
}

// joinQuestion returns a question to a target that has not been sent yet.
func (p *Pool) joinQuestion(t *routing.Target) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, asked := p.questions[t.Incarnation()]
	if waiting != nil {
		return waiting
	}
	q := &question{done: make(chan struct{})}
	if asked {
		p.questions[t.Incarnation()] = q
		return q
	}
	p.questions[t.Incarnation()] = nil
	go p.putQuestions(t, q)
	return q
}

// putQuestions puts a question to a target, and then those that have been asked for meanwhile.
func (p *Pool) putQuestions(t *routing.Target, q *question) {
	for q != nil {
		go p.put(t, q)
		select {
		case <-q.done:
		case <-time.After(askGap.Duration()):
		}
		q = p.nextQuestion(t.Incarnation())
	}
}

// put puts one question to a target.
func (p *Pool) put(t *routing.Target, q *question) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
	defer cancel()
	q.verdict = p.ask(ctx, t)
	close(q.done)
}

// nextQuestion takes the question that waits to be sent, nil if there is none.
func (p *Pool) nextQuestion(incarnation ids.TargetIncarnation) *question {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.questions[incarnation]
	if q == nil {
		delete(p.questions, incarnation)
	} else {
		p.questions[incarnation] = nil
	}
	return q
}

// errNoAnswerer means that an answer does not say which process sent it.
var errNoAnswerer = errors.New("the answer does not name its process")

// ask puts a question until it is answered, the target's address refuses connections, or ctx ends.
func (p *Pool) ask(ctx context.Context, t *routing.Target) EndVerdict {
	for pause := askPause; ctx.Err() == nil; {
		r := p.questionFor(t)
		if r == nil {
			return EndNotKnown
		}
		p.Metrics.Links.Add("targets_asked", 1)
		answerer, reused, err := p.askOnce(ctx, t, r)
		switch {
		case err == nil && answerer == t.ID:
			return EndSameProcess
		case err == nil:
			return EndOtherProcess
		case errors.Is(err, ErrReplaced):
			return EndReplaced
		case errors.Is(err, syscall.ECONNREFUSED):
			return EndRefused
		case reused && !errors.Is(err, errNoAnswerer):
			continue // the target has closed the idle connection
		}
		clock.Pause(ctx, pause)
		pause *= 2
	}
	return EndNotKnown
}

// askOnce returns the id of the process that answers at a target's address, empty if it is another one that does not
// name itself. It also reports whether the question went over an idle connection.
func (p *Pool) askOnce(ctx context.Context, t *routing.Target, r *Request) (answerer ids.Target, reused bool, err error) {
	e := p.newExchange(ctx, t, r)
	e.question = true
	if !p.register(t.Incarnation(), e) {
		e.cancel(nil)
		return "", false, ErrReplaced
	}
	if err := e.connect(); err != nil {
		err = e.cause(err)
		e.unregister()
		return "", false, err
	}
	e.begin()
	reused = e.conn.reused
	response, err := e.readHead()
	if err != nil {
		err = e.cause(err)
		e.failed(err)
		return "", reused, err
	}
	own := e.claim(response)
	if own == nil { // of a request that was sent before, so that the answer to the question is yet to come
		e.failed(errStray)
		return "", reused, errStray
	}
	answerer = own.metadata.Target
	complete := e.discardBody(response, maxNotRunBytes, notRunTime, LimitNotRun) == nil
	<-e.writeEnd // the connection is kept only then; the end of ctx ends write, too
	// Bytes that name neither a request nor a process may not be the answer to the question.
	e.finish(own, complete && answerer != "")
	p.account.DropIncoming(&e.incoming)
	if answerer == "" && response.StatusCode != http.StatusMisdirectedRequest {
		return "", reused, errNoAnswerer
	}
	return answerer, reused, nil
}
