// Package descriptors decides what an entry does with its file descriptors: how many
// connections callers may hold, and what becomes of one that comes beyond that. Connections to
// targets, peers and the store, logs and metrics so always find descriptors left.
package descriptors

import "quaydock/pkg/clock"

// Shares is how the descriptors of a process are divided.
type Limits struct {
	// Callers is how many connections callers may hold.
	Callers int
	// Turned is how many more connections may be there whose callers are being told to come
	// back.
	Rejecting int
	// Extra is how many of the Turned may be served instead of turned away, each while a request
	// of a lower tier is being served.
	Extra int
}

const (
	// ownPart is the part of all descriptors that is for peers, the store, logs, metrics and what
	// the runtime needs. leastOwn is for a few connections each and six that are always open;
	// with it the store stayed in reach of a process with 64 under 400 callers. mostOwn is
	// for peers, most of whose messages are datagrams.
	ownPart  = 1.0 / 8
	leastOwn = 20
	mostOwn  = 256
	// turnedPart is the part for those that are turned away: each is there for one answer, a
	// second at the most.
	turnedPart  = 1.0 / 16
	leastTurned = 4
	// callersPart is the part of what is left that callers get. Each of their requests may
	// need a connection to a target.
	callersPart = 1.0 / 2
	// extraPart is the part of those that are turned away that may be served instead. Served, one
	// stays for a whole request; the other half stays free for being told at once.
	extraPart = 1.0 / 2
)

// Divide divides the descriptors that a process may have.
func Divide(limit int) Limits {
	own := min(max(int(ownPart*float64(limit)), leastOwn), mostOwn)
	turned := max(int(turnedPart*float64(limit)), leastTurned)
	return Limits{Callers: max(1, int(callersPart*float64(limit-own-turned))), Rejecting: turned, Extra: int(extraPart * float64(turned))}
}

// Step is what becomes of a new connection.
type Step int

//go:generate stringer -type=Step -trimprefix=Step -output=step_string.go

// The steps.
const (
	// StepTake takes it.
	StepTake Step = iota
	// StepReplace takes it in the place of the connection that has rested longest.
	StepReplace
	// StepTurnAway tells its caller to come back, and closes it.
	StepTurnAway
	// StepWait leaves it until one that is being turned away is closed.
	StepWait
)

const (
	// A shortage is over when none has shown for calmFor and callers hold at most calmPart of their
	// share. The gap to the whole share keeps a load that stays near it one shortage, with one line
	// of log at its begin and its end.
	calmPart = 3.0 / 4
	calmFor  = clock.Second
)

// Shortage is a time in which callers' share was used up.
type Shortage struct {
	Began clock.Millis
	// Replaced counts the connections that were closed for another, Turned those turned away.
	Replaced int
	Rejected int
	// last is when a connection last found the share used up.
	last clock.Millis
}

// Book counts callers' connections against their share.
type Limiter struct {
	shares   Limits
	taken    int
	turned   int
	shortage *Shortage
}

// NewBook returns a book without connections.
func NewLimiter(shares Limits) *Limiter {
	return &Limiter{shares: shares}
}

// Arrive decides on a new connection, and counts it. Resting is whether one can be closed in
// its place. It reports whether a shortage begins with it.
func (b *Limiter) Arrive(now clock.Millis, resting bool) (step Step, begins bool) {
	switch {
	case !b.AtLimit():
		b.taken++
		return StepTake, false
	case resting:
		begins = b.short(now)
		b.shortage.Replaced++
		return StepReplace, begins
	case b.turned < b.shares.Rejecting:
		begins = b.short(now)
		b.turned++
		b.shortage.Rejected++
		return StepTurnAway, begins
	}
	return StepWait, b.short(now)
}

// short notes a shortage and reports whether it begins.
func (b *Limiter) short(now clock.Millis) bool {
	begins := b.shortage == nil
	if begins {
		b.shortage = &Shortage{Began: now}
	}
	b.shortage.last = now
	return begins
}

// Ended notes that a connection that was taken has ended.
func (b *Limiter) Ended() { b.taken-- }

// TurnedAway notes that a connection that was turned away has ended.
func (b *Limiter) RejectionEnded() { b.turned-- }

// Over returns the shortage that is over by now, or nil. It returns each one once.
func (b *Limiter) EndedShortage(now clock.Millis) *Shortage {
	s := b.shortage
	if s == nil || now-s.last < calmFor || float64(b.taken) > calmPart*float64(b.shares.Callers) {
		return nil
	}
	b.shortage = nil
	return s
}

// AtLimit reports whether callers hold their whole share.
func (b *Limiter) AtLimit() bool { return b.taken >= b.shares.Callers }

// Taken is how many connections callers hold.
func (b *Limiter) Taken() int { return b.taken }

// Turned is how many connections are being turned away.
func (b *Limiter) Rejecting() int { return b.turned }
