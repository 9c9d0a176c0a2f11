package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"quaydock/pkg/balance"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/control"
	"quaydock/pkg/ids"
)

const (
	// maxPlaceCalls limits the concurrent Place calls of one session. While that many are under way, further
	// tickets are collected for the next call.
	maxPlaceCalls = 4
	// noticeWait is how long an agent holds an empty Notices call. It is long because an idle session should cost
	// next to nothing.
	noticeWait = 30 * clock.Second
	// noticeGrace is how much later than noticeWait the reply may arrive before the connection counts as lost.
	noticeGrace = 2 * clock.Second
	// probeInterval is the interval at which a session with waiting tickets checks that its agent still answers.
	probeInterval = 2 * clock.Second
	// placeTimeout limits one Place call. An agent that has not answered by then counts as lost.
	placeTimeout = 2 * clock.Second
	// noAttempt is the attempt number in verdicts of agents of an older release, which do not send one.
	noAttempt = 0
	// minBackoff and maxBackoff limit the pauses between attempts to reach an agent: to connect, to query an outcome
	// or to resume an answer.
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 2 * clock.Second
)

// session is an entry's connection to one agent: it sends tickets and receives verdicts. It reconnects until it is
// stopped.
type session struct {
	common.Common
	target      ids.Target
	controlAt   string // address of the agent's control port
	dataAt      string // address of the agent's data port
	dialTimeout clock.Millis
	// reportInterval, if set, is the interval at which the load is requested even while no ticket waits, as the
	// baseline policies need it.
	reportInterval clock.Millis

	mu                sync.Mutex
	client            *control.Client              // nil while there is no connection
	waiting           map[ids.Request]placedTicket // a request has at most one ticket here
	tickets           []control.Ticket             // for the next Place call
	withdrawn         []ids.Request                // for the next Place call
	withdrawnAttempts []int                        // attempt numbers, parallel to withdrawn
	placeCalls        int                          // goroutines that run sendPending, each with one call at a time
	probing           bool                         // the next Place call is made even if there is nothing to send
	load              control.Load                 // as the agent last reported it
	outstanding       ids.Tokens                   // work of the tickets placed since that report
	// grantsInUse counts the grants that may be in use. They need the session until their answers have ended, even
	// if the target is no longer declared: stopRun is called once none is left.
	grantsInUse int
	stopRun     context.CancelFunc // nil while the target is declared
}

// placedTicket is a ticket, sent or still to be sent, whose final event is to come.
type placedTicket struct {
	request *request
	attempt int // attempt number of the ticket
}

func newSession(c common.Common, target ids.Target, controlAt, dataAt string, dialTimeout clock.Millis) *session {
	c.Log = c.Log.WithField("target", string(target))
	return &session{
		Common:      c,
		target:      target,
		controlAt:   controlAt,
		dataAt:      dataAt,
		dialTimeout: dialTimeout,
		waiting:     make(map[ids.Request]placedTicket),
	}
}

// run keeps the session connected until ctx ends.
func (s *session) run(ctx context.Context) {
	backoff := s.Random.NewBackoff(minBackoff, maxBackoff)
	for ctx.Err() == nil {
		client, err := s.connect(ctx)
		if err == nil {
			backoff.Reset()
			probing := time.AfterFunc(s.currentProbeInterval().Duration(), func() { s.probe(client) })
			err = s.receiveNotices(ctx, client)
			probing.Stop()
			s.disconnect(client)
		}
		if ctx.Err() != nil {
			return
		}
		s.Metrics.Links.Add("session_lost", 1)
		s.Log.WithError(err).Debug("session with the agent lost or not made")
		backoff.Pause(ctx)
	}
}

// connect makes a connection and puts it into use once the agent has answered on it, all within dialTimeout.
func (s *session) connect(ctx context.Context) (*control.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout.Duration())
	defer cancel()
	conn, err := s.Network.Dial(ctx, s.controlAt)
	if err != nil {
		return nil, fmt.Errorf("dialling the agent: %w", err)
	}
	client := control.NewClient(conn)
	// The first reply carries the load, so a session is only used once its agent has answered.
	reply, err := client.Place(ctx, &control.PlaceArgs{})
	if err != nil {
		client.Close()
		return nil, fmt.Errorf("requesting the load of the agent: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = client
	s.recordLoad(reply.Load)
	return client, nil
}

// receiveNotices receives later verdicts until the connection fails.
func (s *session) receiveNotices(ctx context.Context, client *control.Client) error {
	for {
		limited, cancel := context.WithTimeout(ctx, (noticeWait + noticeGrace).Duration())
		reply, err := client.Notices(limited, &control.NoticeArgs{Wait: noticeWait})
		cancel()
		if err != nil {
			return fmt.Errorf("waiting for notices: %w", err)
		}
		s.deliverVerdicts(reply.Verdicts, reply.Load)
	}
}

// probe makes a Place call if tickets wait and none is under way, which detects an agent that is frozen or unreachable.
// It repeats itself until the connection is replaced.
func (s *session) probe(client *control.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != client {
		return
	}
	if (len(s.waiting) > 0 || s.reportInterval > 0) && s.placeCalls == 0 {
		s.probing = true
		s.startPlaceCall()
	}
	time.AfterFunc(s.currentProbeInterval().Duration(), func() { s.probe(client) })
}

// currentProbeInterval returns reportInterval if it is set, else probeInterval.
func (s *session) currentProbeInterval() clock.Millis {
	if s.reportInterval > 0 {
		return s.reportInterval
	}
	return probeInterval
}

// disconnect closes a connection; the tickets sent on it are lost.
func (s *session) disconnect(client *control.Client) {
	client.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != client {
		return
	}
	s.client = nil
	s.tickets = nil
	s.withdrawn, s.withdrawnAttempts = nil, nil
	s.outstanding = 0
	s.failWaiting()
}

// place sends a ticket to the agent. Exactly one event follows on r.events, unless the ticket is withdrawn first.
// Sending the event never blocks under the lock: the channel has room for one event of each placed ticket.
func (s *session) place(r *request, ticket control.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client == nil || s.stopRun != nil {
		r.events <- ticketEvent{session: s, lost: true}
		return
	}
	s.Metrics.Tickets.Add("placed", 1)
	s.waiting[r.id] = placedTicket{request: r, attempt: ticket.Turn}
	s.tickets = append(s.tickets, ticket)
	s.outstanding += ticket.Work()
	s.startPlaceCall()
}

// retire withdraws the session's tickets at once, and calls end, which stops run, when none of its grants is in use.
func (s *session) retire(end context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopRun = end
	for id, p := range s.waiting {
		s.queueWithdrawal(id, p.attempt)
	}
	s.failWaiting()
	s.stopUnused()
}

// failWaiting reports to all waiting requests that their tickets are lost. The lock must be held; sending never blocks,
// as request.events has room for each placed ticket.
func (s *session) failWaiting() {
	for id, p := range s.waiting {
		delete(s.waiting, id)
		p.request.events <- ticketEvent{session: s, lost: true}
	}
}

// release ends the use of a grant, which must be released exactly once.
func (s *session) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantsInUse--
	s.stopUnused()
}

// stopUnused stops a retired session that has no grant in use. The lock must be held.
func (s *session) stopUnused() {
	if s.stopRun != nil && s.grantsInUse == 0 {
		s.stopRun()
	}
}

// withdraw withdraws a ticket that still waits. No event follows for it, but one may have been sent before.
func (s *session) withdraw(id ids.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, waits := s.waiting[id]
	if !waits {
		return
	}
	delete(s.waiting, id)
	s.queueWithdrawal(id, p.attempt)
}

// returnGrant tells the agent that a grant will not be used. The grant still has to be released.
func (s *session) returnGrant(id ids.Request, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueWithdrawal(id, attempt)
}

// queueWithdrawal has the agent notified that a ticket, or the grant for it, is no longer needed. The lock must be
// held.
func (s *session) queueWithdrawal(id ids.Request, attempt int) {
	s.withdrawn = append(s.withdrawn, id)
	s.withdrawnAttempts = append(s.withdrawnAttempts, attempt)
	s.startPlaceCall()
}

// startPlaceCall starts sending pending tickets and withdrawals, unless there is no connection or maxPlaceCalls are
// under way. The lock must be held.
func (s *session) startPlaceCall() {
	if s.client == nil || s.placeCalls >= maxPlaceCalls {
		return
	}
	s.placeCalls++
	go s.sendPending(s.client)
}

// sendPending makes Place calls until nothing is left to send.
func (s *session) sendPending(client *control.Client) {
	for {
		args := s.takePending(client)
		if args == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), placeTimeout.Duration())
		reply, err := client.Place(ctx, args)
		cancel()
		if err != nil {
			s.Log.WithError(err).Debug("Place call to the agent failed")
			s.disconnect(client)
			continue
		}
		s.deliverVerdicts(reply.Verdicts, reply.Load)
	}
}

// takePending returns what is to be sent, or nil if there is nothing or the connection has been replaced. After nil the
// caller must stop, as it is no longer counted in placeCalls.
func (s *session) takePending(client *control.Client) *control.PlaceArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.client != client || len(s.tickets)+len(s.withdrawn) == 0 && !s.probing {
		s.placeCalls--
		return nil
	}
	args := &control.PlaceArgs{Tickets: s.tickets, Withdrawn: s.withdrawn, WithdrawnTurns: s.withdrawnAttempts}
	s.tickets = nil
	s.withdrawn, s.withdrawnAttempts = nil, nil
	s.probing = false
	return args
}

// deliverVerdicts passes final verdicts on to their requests. A verdict on a ticket that no longer waits is dropped; if
// it is a grant, the grant is returned. Sending under the lock never blocks, as request.events has room for each placed
// ticket.
func (s *session) deliverVerdicts(verdicts []control.Verdict, load control.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLoad(load)
	for _, v := range verdicts {
		if v.Kind == control.Queued {
			continue
		}
		s.Metrics.Tickets.Add(v.Kind.String(), 1)
		p, waits := s.waiting[v.Request]
		if !waits || v.Turn != p.attempt && v.Turn != noAttempt {
			if v.Kind == control.Granted {
				// The ticket was withdrawn while the grant was on its way.
				s.queueWithdrawal(v.Request, v.Turn)
			}
			continue
		}
		delete(s.waiting, v.Request)
		if v.Kind == control.Granted {
			s.grantsInUse++ // until release
		}
		p.request.events <- ticketEvent{session: s, verdict: v}
	}
}

// recordLoad stores the load that an agent reported, and counts outstanding work from 0 again. The lock must be held.
func (s *session) recordLoad(load control.Load) {
	s.load = load
	s.outstanding = 0
}

// candidate returns what the placement policy needs to know of the target, and whether its agent is connected.
func (s *session) candidate() (balance.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := balance.Candidate{Target: s.target, Load: s.load, Outstanding: s.outstanding}
	return c, s.client != nil
}

// lastLoad returns the load that the agent last reported.
func (s *session) lastLoad() control.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// currentClient returns the client of the connection, or nil while there is none.
func (s *session) currentClient() *control.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client
}

// outcome queries the agent once for the outcome of a grant, and thereby closes the grant if it was unused. It fails if
// the agent is not connected or does not answer within dialTimeout.
func (s *session) outcome(ctx context.Context, id ids.Request, grant ids.Grant) (control.Fate, error) {
	client := s.currentClient()
	if client == nil {
		return control.FateUnknown, fmt.Errorf("no connection to %s: %w", s.target, errors.NotFound)
	}
	ctx, cancel := context.WithTimeout(ctx, s.dialTimeout.Duration())
	defer cancel()
	reply, err := client.Outcome(ctx, &control.OutcomeArgs{Request: id, Grant: grant})
	if err != nil {
		return control.FateUnknown, fmt.Errorf("querying %s for the outcome of a grant: %w", s.target, err)
	}
	return reply.Fate, nil
}

// cancel has the agent stop the work of a caller that has disconnected, if the agent is connected.
func (s *session) cancel(id ids.Request, grant ids.Grant) {
	client := s.currentClient()
	if client == nil {
		return // the agent aborts by itself when nobody reads the answer
	}
	ctx, stop := context.WithTimeout(context.Background(), s.dialTimeout.Duration())
	defer stop()
	if err := client.Cancel(ctx, &control.OutcomeArgs{Request: id, Grant: grant}); err != nil {
		s.Log.WithError(err).Debug("cancelling a request at its agent failed")
	}
}
