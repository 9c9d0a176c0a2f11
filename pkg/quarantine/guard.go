package quarantine

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// Request is what is to run.
type Request struct {
	Digest  Digest
	Account ids.Account
	Route   ids.Route
}

// Run is a request at a target that has broken off.
type Run struct {
	Request
	Incarnation ids.TargetIncarnation
	// Again is that of the pass under which it ran.
	Again bool
}

// Peers are the other entries.
type Peers interface {
	// Others returns the addresses of all of them.
	Others() []netip.AddrPort
	// Home returns the entry that is in charge of a matter, and whether it is this one.
	Owner(matter string) (netip.AddrPort, bool)
}

// Store keeps what has to outlast all entries.
type Store interface {
	// Write replaces or removes a row if it still has the version of the write. It returns the new
	// version. An error other than ErrOvertaken says nothing of whether it was done.
	Write(ctx context.Context, w Write) (int64, error)
}

// Parts are what a guard works with.
type Dependencies struct {
	common.Common
	// Address is this entry's own. Without Peers the guard knows only what it has seen itself.
	Address netip.AddrPort
	Peers   Peers
	Link    *packets.Link
	Store   Store
	// Leaves reports whether a life of a target has said that it leaves; nil if that is not known.
	Leaves func(ids.TargetIncarnation) bool
}

// Guard keeps requests that end their targets from running at one entry.
type Guard struct {
	common.Common
	register *Register
	peers    Peers
	store    Store
	link     *packets.Link
	turns    *turns
	news     *news
	doubts   doubts
	leaves   func(ids.TargetIncarnation) bool
}

// New returns a guard that knows nothing yet.
func New(p Dependencies) *Guard {
	g := &Guard{Common: p.Common, register: NewRegister(), peers: p.Peers, store: p.Store, link: p.Link, news: newNews(), leaves: p.Leaves}
	g.turns = newTurns(p.Common, p.Peers, p.Link, p.Address)
	p.Metrics.Prometheus.Gauge("requests_suspected", func() float64 { return float64(g.register.Len()) })
	p.Metrics.Prometheus.Gauge("requests_held_back", func() float64 { return float64(g.register.HeldCount()) })
	if p.Peers == nil {
		g.register.MarkRead(p.Clock.Now())
		return g
	}
	p.Link.Handle(packets.KindTargetEnds, packets.Receive(p.Link, g.heard))
	return g
}

// Watches reports whether there is anything against some request of an account; without, no
// digest is needed of its requests.
func (g *Guard) HasRecord(account ids.Account) bool { return g.register.HasRecord(account) }

// Refused says that a request may not run.
type Refused struct {
	// Held says that it is held back; without, it only waited too long for its turn.
	Held       bool
	RetryAfter clock.Millis
}

func (g *Guard) held(now clock.Millis, d Digest) *Refused {
	return &Refused{Held: true, RetryAfter: g.register.ReadyIn(now, d)}
}

// Pass is the permission for one run.
type Permit struct {
	guard  *Guard
	digest Digest
	turn   *turn
	// Again says that an end is known already.
	Again bool
	// retrial says that it is one of the few runs of a request that is held back.
	retrial bool
}

// Release gives the turn to the next try, once the run has ended and what it showed was told; ran is
// false if there was no run. Only the first call counts, and a nil pass needs none.
func (p *Permit) Release(ran bool) {
	if p == nil || p.turn == nil {
		return
	}
	if p.retrial && !ran {
		p.guard.register.RetrialUnused(p.digest)
	}
	p.guard.turns.release(p.turn)
	p.turn = nil
}

const (
	// turnPatience is for how long a suspected request waits for its turn, and turnAgain when it
	// may come back. Turns take as long as its runs.
	turnPatience = clock.Second
	turnAgain    = 500 * clock.Millisecond
	// turnPause is between two looks at whether it is a request's turn.
	turnPause = 20 * clock.Millisecond
)

// Allows reports whether a request may still run with what Enter returned some time ago.
func (g *Guard) Allows(r Request, p *Permit) bool {
	s := g.suspicion(r)
	switch {
	case s.none():
		return true
	case s.verdict == Held:
		return p != nil && p.retrial
	default:
		return p != nil
	}
}

// Enter waits until a request may run. The pass is nil if there is nothing against it or its account.
func (g *Guard) Enter(ctx context.Context, r Request) (*Permit, *Refused) {
	if s := g.suspicion(r); s.none() {
		return nil, nil
	}
	return g.await(ctx, r)
}

// suspicion is what stands against a request now.
type suspicion struct {
	verdict Verdict
	// account says that it runs in the turn of its account, wait in what time it may at the soonest.
	account bool
	wait    clock.Millis
}

func (s suspicion) none() bool { return s.verdict == Free && !s.account }

func (g *Guard) suspicion(r Request) suspicion {
	now := g.Clock.Now()
	s := suspicion{verdict: g.register.Verdict(now, r.Digest)}
	s.account, s.wait = g.register.Suspected(now, r)
	return s
}

// await waits until a request may run against which, or whose account, something is known.
func (g *Guard) await(ctx context.Context, r Request) (*Permit, *Refused) {
	var turn *turn
	defer func() { g.turns.release(turn) }()
	for until := g.Clock.Now() + turnPatience; ; clock.Pause(ctx, turnPause) {
		now, s := g.Clock.Now(), g.suspicion(r)
		switch {
		case s.none():
			return nil, nil
		case s.verdict == Held && !g.register.RetrialDue(now, r.Digest):
			return nil, g.held(now, r.Digest)
		case s.wait > 0:
			return nil, &Refused{RetryAfter: s.wait}
		}
		turn = g.turnOf(turn, r, s)
		if g.settled(now, r, s) && (s.verdict == Held && !s.account || g.turns.take(ctx, turn)) {
			if s.verdict == Held && !g.retry(ctx, r.Digest) {
				return nil, g.held(now, r.Digest)
			}
			taken := turn
			turn = nil
			return &Permit{guard: g, digest: r.Digest, turn: taken, Again: s.verdict != Free, retrial: s.verdict == Held}, nil
		}
		if ctx.Err() != nil || now >= until {
			return nil, &Refused{RetryAfter: turnAgain}
		}
	}
}

// settled reports whether what a run of a request shows would be about the request: what ended a target under it a
// moment ago, and may end others, is over.
func (g *Guard) settled(now clock.Millis, r Request, s suspicion) bool {
	return s.verdict != Suspect || g.register.Settled(now, r.Digest)
}

// turnOf returns the turn that a request waits for, its own or that of its account, instead of one that it waited
// for before, if any.
func (g *Guard) turnOf(before *turn, r Request, s suspicion) *turn {
	of := r.Digest
	if s.account {
		of = accountDigest(r)
	}
	if before != nil && before.digest == of {
		return before
	}
	g.turns.release(before)
	return g.turns.begin(of)
}

// retry allows one more run of a request that is held back, if it is time for that: targets may have
// ended beside it for another reason. The store counts these runs, so that all entries together
// make no more of them, also when they restart.
func (g *Guard) retry(ctx context.Context, d Digest) bool {
	if g.register.TakeUnusedRetrial(d) {
		return true
	}
	w, due := g.register.Retry(g.Clock.Now(), d)
	if !due {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, writeTime.Duration())
	defer cancel()
	_, err := g.store.Write(limited, w)
	g.register.WriteDone(&w, err == nil)
	g.log(&w.Record).WithError(err).WithField("retrials", w.Retrials).Info("one more run of a request that is held back")
	return err == nil
}

// Ended notes that the process of a target has ended while it ran a request.
func (g *Guard) Ended(run Run) {
	g.Metrics.Prometheus.Add("targets_ended_under_requests", "account", string(run.Account))
	record := Record{Digest: run.Digest, Account: run.Account, Route: run.Route, Ends: []TargetEnd{{Incarnation: run.Incarnation, Again: run.Again}}}
	g.took(g.register.Join(g.Clock.Now(), &record))
}

// Completed notes that a request has been completed, which clears it of all ends: one that ends its
// targets never is.
func (g *Guard) Completed(d Digest) {
	g.took(g.register.Completed(g.Clock.Now(), d))
}

// Succeeded notes that a request has been completed.
func (g *Guard) Succeeded(r Request) {
	g.register.RecordSuccess(g.Clock.Now(), r)
	g.Completed(r.Digest)
}

// took tells the others what is new, and operators what begins and ends.
func (g *Guard) took(c Change) {
	if c.New {
		g.news.add(c.Digest)
	}
	g.tell(c)
}

// tell logs that a request is held back from now on, or is not any more.
func (g *Guard) tell(c Change) {
	switch {
	case c.After == Held && c.Before != Held:
		g.Metrics.Prometheus.Add("quarantine", "event", "held back")
		g.log(&c.Record).Warn("a request is held back: targets have ended under it")
	case c.Before == Held && c.After != Held:
		g.Metrics.Prometheus.Add("quarantine", "event", "let go")
		g.log(&c.Record).Info("a request is no longer held back")
	}
}

func (g *Guard) log(r *Record) *logrus.Entry {
	var targets []ids.Target
	for _, e := range r.Ends {
		targets = append(targets, e.Incarnation.Target)
	}
	return g.Log.WithFields(logrus.Fields{
		"digest": r.Digest.String(), "account": string(r.Account), "route": string(r.Route), "ended_targets": targets,
	})
}

// EndedLives lists the lives of targets that ended under requests that are held back.
func (g *Guard) EndedIncarnations() []ids.TargetIncarnation { return g.register.HeldIncarnations() }

// Held lists the requests that are held back.
func (g *Guard) Held() []Report { return g.register.Held(g.Clock.Now()) }

// Release lets a request go, at all entries, by an operator's word. It reports whether there was
// anything against it.
func (g *Guard) Release(d Digest) bool {
	c := g.register.Completed(g.Clock.Now(), d)
	g.took(c)
	return c.New
}

// Run tells the others and the store what is known until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	if g.peers == nil {
		return
	}
	go g.keep(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-g.news.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if g.tellOthers() {
			timer.Reset(tellAgain.Duration())
		}
	}
}
