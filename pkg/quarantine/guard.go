package quarantine

import (
	"context"
	"net/netip"
	"slices"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// Request is a request that is about to run.
type Request struct {
	Digest  Digest // may be left out while HasRecord reports that there is no record of the account
	Account ids.Account
	Route   ids.Route
	Service ids.Service
	// Parts are the parts of its prompt that other requests of the service may have in common.
	Parts []ids.PromptPart
}

// Run is a run of a request at a target that has broken off.
type Run struct {
	Request
	Incarnation ids.TargetIncarnation
	// Again is that of the permit under which it ran, false if it ran without one.
	Again bool
	// Start is that of when it was sent.
	Start Start
	// Survived says that its answer had gone on for some time, so that no part of its prompt has ended the target.
	Survived bool
}

// Peers are the other entries.
type Peers interface {
	// Others returns the addresses of all other entries.
	Others() []netip.AddrPort
	// Owner returns the owner of a shard, and whether it is this entry.
	Owner(shard string) (netip.AddrPort, bool)
}

// Store holds what must outlast all entries.
type Store interface {
	// Write replaces or removes a row if it is still the one at the position given in the write, and returns the new position.
	// After any error but ErrRecordChanged it is unknown whether the row was written.
	Write(ctx context.Context, w Write) (history.Position, error)
}

// Dependencies are what a guard works with.
type Dependencies struct {
	common.Common
	// Address is that of this entry. Without Peers the guard knows only what it has seen itself.
	Address netip.AddrPort
	Peers   Peers
	Link    *packets.Link
	Store   Store
	// Leaves reports whether an incarnation of a target has reported that it drains; nil if that is not known.
	Leaves func(ids.TargetIncarnation) bool
}

// Guard prevents, at one entry, requests that end their targets from running.
type Guard struct {
	common.Common
	register     *Register
	peers        Peers
	store        Store
	link         *packets.Link
	runs         *exclusiveRuns
	reports      *reportQueue
	possibleEnds possibleEnds
	leaves       func(ids.TargetIncarnation) bool
}

// New returns a guard without records.
func New(p Dependencies) *Guard {
	g := &Guard{Common: p.Common, register: NewRegister(), peers: p.Peers, store: p.Store, link: p.Link, reports: newReportQueue(), leaves: p.Leaves}
	g.runs = newExclusiveRuns(p.Common, p.Peers, p.Link, p.Address)
	p.Metrics.Prometheus.Gauge("requests_suspected", func() float64 { return float64(g.register.Len() - g.register.PartsLen()) })
	p.Metrics.Prometheus.Gauge("requests_held_back", func() float64 { return float64(g.register.HeldCount() - g.register.PartsHeldCount()) })
	p.Metrics.Prometheus.Gauge("prompt_parts_with_ends", func() float64 { return float64(g.register.PartsLen()) })
	p.Metrics.Prometheus.Gauge("prompt_parts_held_back", func() float64 { return float64(g.register.PartsHeldCount()) })
	if p.Peers == nil {
		g.register.StoreRead(p.Clock.Now())
		return g
	}
	p.Link.Handle(packets.KindTargetEnds, packets.Receive(p.Link, g.receiveReports))
	p.Link.Handle(packets.KindPartEnds, packets.Receive(p.Link, g.receivePartReports))
	return g
}

// HasRecord reports whether anything is recorded against a request of an account. Otherwise its requests need no
// digest.
func (g *Guard) HasRecord(account ids.Account) bool { return g.register.HasRecord(account) }

// Concerns reports whether anything is recorded against a request of an account, or against any part if its prompt has
// parts. Otherwise it runs without a permit.
func (g *Guard) Concerns(account ids.Account, hasParts bool) bool {
	return g.register.HasRecord(account) || hasParts && g.HasParts()
}

// HasParts reports whether anything is recorded against any part.
func (g *Guard) HasParts() bool { return g.register.HasParts() }

// Start returns what is known against the parts of a request that is sent to a target now.
func (g *Guard) Start(r Request) Start { return g.register.Start(r) }

// Refused says that a request may not run.
type Refused struct {
	// Held says that it is quarantined; otherwise it only waited too long for an exclusive run.
	Held bool
	// RetryAfter is the time after which the caller may send it again.
	RetryAfter clock.Millis
	// Part is the part of its prompt that is quarantined, nil if the request itself is, or none.
	Part *ids.PromptPart
}

// refusedHeld returns the refusal of a request that is quarantined, itself or by a part, with the time until it may run
// once more.
func (g *Guard) refusedHeld(now clock.Millis, d Digest) *Refused {
	refused := &Refused{Held: true, RetryAfter: g.register.ReadyIn(now, d)}
	if record, known := g.register.Get(d); known && record.isPart() {
		refused.Part = &record.Part
	}
	return refused
}

// Permit permits one run.
type Permit struct {
	guard *Guard
	run   *exclusiveRun // nil once released; that of a retrial need not have been granted
	// Again says that a target end under the request is already known.
	Again bool
	// retrials are the digests of which it is one of the few permitted runs: the request, or parts of it, if quarantined.
	retrials []Digest
}

// Release releases the exclusive run for the next try. It is called after the run has ended and its result has been
// recorded; ran is false if there was no run. Only the first call has an effect, and a nil permit is allowed.
func (p *Permit) Release(ran bool) {
	if p == nil || p.run == nil {
		return
	}
	if !ran {
		p.guard.returnRetrials(p.retrials)
	}
	p.guard.runs.release(p.run)
	p.run = nil
}

const (
	// runWait is how long a suspected request waits for an exclusive run, and runRetryAfter the Refused.RetryAfter of
	// one that waited in vain: when the run becomes free is not known, it depends on how long the runs of others take.
	runWait       = clock.Second
	runRetryAfter = 500 * clock.Millisecond
	// freshHold is how long a part is so freshly quarantined that its requests wait: runs that are under way may excuse it.
	freshHold = clock.Second
	// runPollInterval is the time between two checks whether an exclusive run is available.
	runPollInterval = 20 * clock.Millisecond
)

// Allows reports whether a request may still run with the permit that Enter returned some time ago. If it or one of its
// parts has been quarantined since, only the permit of a retrial is enough; if it or its account is suspected, any permit
// is.
func (g *Guard) Allows(r Request, p *Permit) bool {
	s := g.suspicion(r)
	switch {
	case s.none():
		return true
	case s.verdict == Held:
		return p != nil && !slices.ContainsFunc(s.held, func(d Digest) bool { return !slices.Contains(p.retrials, d) })
	default:
		return p != nil
	}
}

// Enter waits until a request may run. The permit is nil if nothing is recorded against the request or its account. It
// is refused while it is quarantined and no retrial is due, during a pause of its account, or if it gets no exclusive
// run within runWait or before ctx ends.
func (g *Guard) Enter(ctx context.Context, r Request) (*Permit, *Refused) {
	if s := g.suspicion(r); s.none() {
		return nil, nil
	}
	return g.await(ctx, r)
}

// suspicion is what is currently recorded against a request.
type suspicion struct {
	verdict Verdict
	// held are the digests that are quarantined if the verdict is Held: those of parts, and of the request.
	held []Digest
	// accountRun says that the request runs exclusively for its account, and wait how long it must wait at least.
	accountRun bool
	wait       clock.Millis
}

// none reports whether the request may run without a permit.
func (s suspicion) none() bool { return s.verdict == Free && !s.accountRun }

// suspicion returns what is recorded against a request now, which counts as the time at which it last came.
func (g *Guard) suspicion(r Request) suspicion {
	now := g.Clock.Now()
	s := suspicion{verdict: g.register.Verdict(now, r.Digest), held: g.register.HeldParts(now, r)}
	s.accountRun, s.wait = g.register.AccountSuspicion(now, r)
	if s.verdict == Held {
		s.held = append(s.held, r.Digest)
	}
	if len(s.held) > 0 {
		s.verdict = Held
	}
	return s
}

// waits reports whether a quarantined request waits, as its parts are quarantined so freshly that this may end at once.
func (g *Guard) waits(now clock.Millis, r Request, s suspicion) bool {
	return !slices.ContainsFunc(s.held, func(d Digest) bool { return d == r.Digest || g.register.HeldFor(now, d) >= freshHold })
}

// retrialDue reports whether a quarantined request may be a retrial of all for which it is quarantined.
func (g *Guard) retrialDue(now clock.Millis, s suspicion) bool {
	now -= severalHeldDelay * clock.Millis(len(s.held)-1)
	return !slices.ContainsFunc(s.held, func(d Digest) bool { return !g.register.RetrialDue(now, d) })
}

// permitRetrials is permitRetrial for all for which a request is quarantined.
func (g *Guard) permitRetrials(ctx context.Context, held []Digest) bool {
	for i, d := range held {
		if !g.permitRetrial(ctx, d) {
			g.returnRetrials(held[:i])
			return false
		}
	}
	return true
}

// returnRetrials records that permitted retrials did not take place.
func (g *Guard) returnRetrials(held []Digest) {
	for _, d := range held {
		g.register.ReturnRetrial(d)
	}
}

// await waits until a request may run that is suspected or quarantined, or whose account is suspected. Its results are
// those of Enter: if both are nil, nothing is recorded any more and the request runs without a permit. If ctx ends
// first, the request is refused.
func (g *Guard) await(ctx context.Context, r Request) (*Permit, *Refused) {
	var run *exclusiveRun
	defer func() { g.runs.release(run) }()
	for until := g.Clock.Now() + runWait; ; clock.Pause(ctx, runPollInterval) {
		now, s := g.Clock.Now(), g.suspicion(r)
		switch {
		case s.none():
			return nil, nil
		case s.verdict == Held && !g.retrialDue(now, s):
			if g.waits(now, r, s) && ctx.Err() == nil {
				continue
			}
			return nil, g.refusedHeld(now, s.held[0])
		case s.wait > 0:
			return nil, &Refused{RetryAfter: s.wait}
		}
		run = g.runFor(run, r, s)
		// A suspected request also waits until settleTime has passed since the last target end under it. A quarantined
		// one needs a retrial, and an exclusive run only if its account is suspected; all others need an exclusive run.
		if g.settled(now, r, s) && (s.verdict == Held && !s.accountRun || g.runs.acquire(ctx, run)) {
			if !g.permitRetrials(ctx, s.held) {
				return nil, g.refusedHeld(now, s.held[0])
			}
			taken := run
			run = nil
			return &Permit{guard: g, run: taken, Again: s.verdict != Free, retrials: s.held}, nil
		}
		if ctx.Err() != nil || now >= until {
			return nil, &Refused{RetryAfter: runRetryAfter}
		}
	}
}

// settled reports whether a run of the request would show something about the request: whatever ended a target under
// it a moment ago, and may end others, is over.
func (g *Guard) settled(now clock.Millis, r Request, s suspicion) bool {
	return s.verdict != Suspect || g.register.Settled(now, r.Digest)
}

// runFor returns the exclusive run that a request waits for, its own or that of its account, and releases the one that
// it waited for before, if any.
func (g *Guard) runFor(before *exclusiveRun, r Request, s suspicion) *exclusiveRun {
	of := r.Digest
	if s.accountRun {
		of = accountDigest(r)
	}
	if before != nil && before.digest == of {
		return before
	}
	g.runs.release(before)
	return g.runs.newRun(of)
}

// permitRetrial permits one more run of a quarantined request if one is due: targets may have ended beside it for
// another reason. The store counts these runs, so that the entries together don't exceed their number, even when they
// restart: without the store's confirmation it is not permitted. A returned retrial is one that was permitted at this
// entry but did not run; the store has counted it already, so it is used without another write.
func (g *Guard) permitRetrial(ctx context.Context, d Digest) bool {
	if g.register.TakeReturnedRetrial(d) {
		return true
	}
	w, due := g.register.BeginRetrial(g.Clock.Now(), d)
	if !due {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	_, err := g.store.Write(limited, w)
	g.register.RetrialWritten(&w, err == nil)
	g.log(&w.Record).WithError(err).WithField("retrials", w.Retrials).Info("retrial of a quarantined " + w.kind())
	return err == nil
}

// RecordTargetEnd records that the process of a target has ended while it ran a request.
func (g *Guard) RecordTargetEnd(run Run) {
	g.Metrics.Prometheus.Add("targets_ended_under_requests", "account", string(run.Account))
	record := Record{Digest: run.Digest, Account: run.Account, Route: run.Route, Ends: []TargetEnd{{Incarnation: run.Incarnation, Again: run.Again}}}
	g.publish(g.register.Join(g.Clock.Now(), &record))
	if run.Survived {
		return
	}
	for i, part := range run.parts() {
		record := newPartRecord(run.Service, part)
		record.Ends = []TargetEnd{{Incarnation: run.Incarnation, Rank: run.Start.rank(i)}}
		g.publish(g.register.Join(g.Clock.Now(), &record))
	}
}

// Survived records that the answer to a request has gone on for some time, or is complete: none of its parts ends targets,
// as far as their ends were known when it was sent.
func (g *Guard) Survived(r Request, s Start) {
	for _, c := range g.register.Survived(g.Clock.Now(), r, s) {
		g.publish(c)
	}
}

// Completed records that a request has been completed, which clears it of all target ends: a request that ends its
// targets is never completed.
func (g *Guard) Completed(d Digest) {
	g.publish(g.register.Completed(g.Clock.Now(), d))
}

// Succeeded records that a request has been completed: it is cleared of all target ends, and runs without restriction
// while its account is suspected.
func (g *Guard) Succeeded(r Request) {
	g.register.Succeeded(g.Clock.Now(), r)
	g.Completed(r.Digest)
}

// publish reports new information to the other entries, and logs the start and end of a quarantine.
func (g *Guard) publish(c Change) {
	if c.New {
		g.reports.add(c.Digest)
	}
	g.logChange(c)
}

// logChange logs and counts that a request is quarantined from now on, or no longer is; of any other change it says
// nothing.
func (g *Guard) logChange(c Change) {
	switch {
	case c.After == Held && c.Before != Held:
		g.Metrics.Prometheus.Add("quarantine", "event", "held back")
		g.log(&c.Record).Warn(c.kind() + " quarantined: targets have ended under it")
	case c.Before == Held && c.After != Held:
		g.Metrics.Prometheus.Add("quarantine", "event", "let go")
		g.log(&c.Record).Info(c.kind() + " is no longer quarantined")
	}
}

// kind returns in a word or two what a record is of.
func (r *Record) kind() string {
	if r.isPart() {
		return "part of prompts"
	}
	return "request"
}

// log returns the log entry with the fields of a record.
func (g *Guard) log(r *Record) *logrus.Entry {
	var targets []ids.Target
	for _, e := range r.Ends {
		targets = append(targets, e.Incarnation.Target)
	}
	fields := logrus.Fields{"digest": r.Digest.String(), "ended_targets": targets}
	if r.isPart() {
		fields["prompt_part"], fields["service"] = r.Part.String(), string(r.Service)
		fields["ends_in_a_row"], fields["excused_below"] = r.level(), r.Cleared
	} else {
		fields["account"], fields["route"] = string(r.Account), string(r.Route)
	}
	return g.Log.WithFields(fields)
}

// EndedIncarnations lists the incarnations of targets that ended under quarantined requests and parts.
func (g *Guard) EndedIncarnations() []ids.TargetIncarnation { return g.register.HeldIncarnations() }

// HeldReports lists the quarantined requests and parts.
func (g *Guard) HeldReports() []Report { return g.register.HeldReports(g.Clock.Now()) }

// Release releases a request from quarantine on an operator's order. It reports whether any target end that was not
// excused yet was recorded against it at this entry; if not, it does nothing. The release is reported to the other
// entries reportSends times without confirmation; one that gets none of these reports keeps its record, also when the
// row is removed from the store.
func (g *Guard) Release(d Digest) bool {
	c := g.register.Completed(g.Clock.Now(), d)
	g.publish(c)
	return c.New
}

// Run sends reports to the other entries and writes records to the store until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	if g.peers == nil {
		return
	}
	go g.persist(ctx)
	timer := clock.NewTimer(0)
	defer func() { timer.Stop() }()
	for ctx.Err() == nil {
		select {
		case <-g.reports.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if g.sendReports() {
			timer.Stop()
			timer = clock.NewTimer(reportInterval)
		}
	}
}
