package agent

import (
	"context"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/gate"
)

// maxNoticeWait limits how long an empty Notices call is held, whatever wait the entry requests.
const maxNoticeWait = clock.Minute

// controlSession is the agent's side of the connection to one entry. Its exported methods are the messages of
// package control, served by net/rpc.
type controlSession struct {
	agent *Agent
	id    gate.Session
	ctx   context.Context // ends with the connection

	mu       sync.Mutex
	verdicts []control.Verdict // for the next Notices call
	arrived  chan struct{}     // holds an element if notify was called since the last Notices call
}

func newControlSession(ctx context.Context, a *Agent, id gate.Session) *controlSession {
	return &controlSession{agent: a, id: id, ctx: ctx, arrived: make(chan struct{}, 1)}
}

// Place withdraws tickets, and then decides on new ones.
func (s *controlSession) Place(args *control.PlaceArgs, reply *control.PlaceReply) error {
	reply.Verdicts, reply.Load = s.agent.place(s.id, args)
	return nil
}

// Notices waits for later verdicts. The reply has none if none comes within the time that the entry requested.
func (s *controlSession) Notices(args *control.NoticeArgs, reply *control.NoticeReply) error {
	clock.Await(s.ctx, min(args.Wait, maxNoticeWait), s.arrived)
	reply.Verdicts = s.takeVerdicts()
	reply.Load = s.agent.load()
	return nil
}

// Outcome returns the outcome of a grant, after closing it if it was unused.
func (s *controlSession) Outcome(args *control.OutcomeArgs, reply *control.OutcomeReply) error {
	reply.Fate = s.agent.outcome(args)
	return nil
}

// Cancel stops the work of a grant whose caller has disconnected.
func (s *controlSession) Cancel(args *control.OutcomeArgs, _ *control.EmptyReply) error {
	s.agent.cancel(args)
	return nil
}

// notify stores a later verdict for the next Notices call.
func (s *controlSession) notify(verdict control.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts = append(s.verdicts, verdict)
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// takeVerdicts returns and clears the stored verdicts.
func (s *controlSession) takeVerdicts() []control.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.verdicts
	s.verdicts = nil
	return taken
}
