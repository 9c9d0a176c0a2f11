// Package descriptors limits the use of an entry's file descriptors: how many connections callers may
// hold, and what is done with one beyond that limit. So there are always descriptors left for
// connections to targets, peers and the store, logs and metrics.
package descriptors

import "quaydock/pkg/clock"

// Limits is how the descriptors of a process are divided. Those that it does not name are for connections to targets,
// and reserved.
type Limits struct {
	// Callers is how many connections callers may hold.
	Callers int
	// Rejecting is how many more connections may be open whose callers are being told to come back.
	Rejecting int
	// Extra is how many of the Rejecting may be served instead of rejected, each while a request of a
	// lower tier is being served.
	Extra int
}

const (
	// reservedFraction is the fraction of all descriptors reserved for peers, the store, logs, metrics
	// and the runtime. minReserved allows for a few connections each and six descriptors that are
	// always open; with it the store stayed reachable for a process with 64 descriptors under 400
	// callers. maxReserved is enough for peers, since most of their messages are datagrams.
	reservedFraction = 1.0 / 8
	minReserved      = 20
	maxReserved      = 256
	// rejectingFraction is the fraction for connections that are being rejected: each is open for one
	// answer, at most a second.
	rejectingFraction = 1.0 / 16
	minRejecting      = 4
	// callersFraction is the fraction of the rest that callers get. Each of their requests may need a
	// connection to a target.
	callersFraction = 1.0 / 2
	// extraFraction is the fraction of the connections to reject that may be served instead. A served
	// one stays for a complete request; the other half stays free for answers at once.
	extraFraction = 1.0 / 2
)

// LimitsFor divides the file descriptor limit of a process.
func LimitsFor(limit int) Limits {
	reserved := min(max(int(reservedFraction*float64(limit)), minReserved), maxReserved)
	rejecting := max(int(rejectingFraction*float64(limit)), minRejecting)
	return Limits{Callers: max(1, int(callersFraction*float64(limit-reserved-rejecting))), Rejecting: rejecting, Extra: int(extraFraction * float64(rejecting))}
}

// Step is what is done with a new connection.
type Step int

//go:generate stringer -type=Step -trimprefix=Step -output=step_string.go

// The steps.
const (
	// StepTake accepts it.
	StepTake Step = iota
	// StepReplace accepts it in place of the connection that has been idle longest.
	StepReplace
	// StepTurnAway rejects it: tells its caller to come back, and closes it.
	StepTurnAway
	// StepWait leaves it until a connection that is being rejected is closed.
	StepWait
)

const (
	// A shortage has ended when no connection has exceeded the limit for recoveredAfter and callers hold
	// at most recoveredFraction of their limit. The gap to the full limit makes a load that stays near
	// it one shortage, with one log line when it begins and one when it ends.
	recoveredFraction = 3.0 / 4
	recoveredAfter    = clock.Second
)

// Shortage is a time in which callers' connections were at their limit.
type Shortage struct {
	Began clock.Millis
	// Replaced counts the connections that were closed for another, Rejected those rejected.
	Replaced int
	Rejected int
	// lastSeen is when a connection last found the limit reached.
	lastSeen clock.Millis
}

// Limiter counts callers' connections against their limit. It is not safe for concurrent use.
type Limiter struct {
	limits    Limits
	taken     int       // connections that callers hold
	rejecting int       // connections that are being rejected
	shortage  *Shortage // nil unless one goes on
}

// NewLimiter returns a limiter without connections.
func NewLimiter(limits Limits) *Limiter {
	return &Limiter{limits: limits}
}

// Arrive decides on a new connection, and counts it. The parameter idle says whether an idle connection
// can be closed in its place. It reports whether a shortage begins with it. After StepWait the connection
// is not counted, and Arrive must be called again for it.
func (l *Limiter) Arrive(now clock.Millis, idle bool) (step Step, begins bool) {
	switch {
	case !l.AtLimit():
		l.taken++
		return StepTake, false
	case idle:
		begins = l.recordShortage(now)
		l.shortage.Replaced++
		return StepReplace, begins
	case l.rejecting < l.limits.Rejecting:
		begins = l.recordShortage(now)
		l.rejecting++
		l.shortage.Rejected++
		return StepTurnAway, begins
	}
	return StepWait, l.recordShortage(now)
}

// recordShortage records that the limit was reached, and reports whether a shortage begins.
func (l *Limiter) recordShortage(now clock.Millis) bool {
	begins := l.shortage == nil
	if begins {
		l.shortage = &Shortage{Began: now}
	}
	l.shortage.lastSeen = now
	return begins
}

// Ended records that an accepted connection has ended. It must not be called for one that was replaced,
// as the new connection has taken its place in the count.
func (l *Limiter) Ended() { l.taken-- }

// RejectionEnded records that a rejected connection has ended.
func (l *Limiter) RejectionEnded() { l.rejecting-- }

// EndedShortage returns the shortage that has ended by now, or nil. It returns each one once.
func (l *Limiter) EndedShortage(now clock.Millis) *Shortage {
	s := l.shortage
	if s == nil || now-s.lastSeen < recoveredAfter || float64(l.taken) > recoveredFraction*float64(l.limits.Callers) {
		return nil
	}
	l.shortage = nil
	return s
}

// AtLimit reports whether callers hold all connections that they may.
func (l *Limiter) AtLimit() bool { return l.taken >= l.limits.Callers }

// CallerConnections returns how many connections callers hold.
func (l *Limiter) CallerConnections() int { return l.taken }

// Rejecting returns how many connections are being rejected.
func (l *Limiter) Rejecting() int { return l.rejecting }
