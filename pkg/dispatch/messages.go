// Package dispatch assigns the requests of all entries to targets by one planner
// for each service. The planner of a service runs at its owner, one of the
// entries. It keeps no state that the entries could not send again, so that
// another entry can take over within a few heartbeats. An entry that reaches no
// owner chooses targets by its own counts.
package dispatch

import (
	"math"
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/slowdown"
)

// submitMessage submits a request for an assignment. It is sent again until there is a final
// decision. Points in time mean nothing on another VM's clock, so those of the job are
// cleared and sent as durations beside it.
type submitMessage struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64   // identifies the request at its entry, until a grant for it is returned
	Service   ids.Service
	Waited    clock.Millis // since its arrival at the entry
	Remaining clock.Millis // until its deadline
	Job       planner.Job
}

// job returns the job with its times on this VM's clock.
func (m *submitMessage) job(from netip.AddrPort, now clock.Millis) planner.Job {
	j := m.Job
	j.ID = planner.JobID{Entry: from.String(), Number: m.Number}
	j.Arrived = now - m.Waited
	j.Deadline = now + m.Remaining
	return j
}

// versionSubmitMessage submits a request that may only get targets of one version. Owners of earlier builds ignore it,
// and the entry chooses a target by itself then.
type versionSubmitMessage struct {
	_       struct{} `cbor:",toarray"`
	Submit  submitMessage
	Version ids.Version
}

// targetEndMessage reports to an owner that the process of a target has ended whose row is still listed.
type targetEndMessage struct {
	_           struct{} `cbor:",toarray"`
	Service     ids.Service
	Incarnation ids.TargetIncarnation
}

// decisionKind is the kind of a decision on a submitted job.
type decisionKind int

const (
	queued decisionKind = iota // not decided yet: the request waits at the owner
	granted
	refused    // the service is overloaded
	noTarget   // the service has no eligible target
	redispatch // the running request should be re-dispatched
	backedOff  // refused, as all targets have asked its entry for a back-off
)

// decisionMessage is the owner's decision on a submitted request.
type decisionMessage struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Kind        decisionKind
	Incarnation ids.TargetIncarnation // the granted target
	RetryAfter  clock.Millis          // set with a refusal
	// Ahead and Wait explain a refusal: the requests ahead, and the expected wait.
	Ahead int
	Wait  clock.Millis
	// Limit is the target's rate limit in requests per second as the owner knows it, nil if unknown. Counted says that
	// the grant was counted against it.
	Limit   *ratelimit.AgedReport
	Counted bool
}

// progress is a step in a submitted request's processing.
type progress int

const (
	begun     progress = iota // the target has begun to answer
	done                      // the request has ended, or its grant was not used
	withdrawn                 // the entry no longer wants a grant for the request
)

// progressMessage reports the progress of a request.
type progressMessage struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Service  ids.Service
	Progress progress
	Outcome  planner.Outcome     // set with done
	Flow     planner.StreamStats // set with done
	Load     *planner.Load       // set with begun, if the target reported it
}

// slowdownProgressMessage reports that a target has begun to answer, and with it how long work takes there now. Owners of
// earlier builds ignore it, and learn from the next list of running requests that the target has begun.
type slowdownProgressMessage struct {
	_        struct{} `cbor:",toarray"`
	Progress progressMessage
	// Percent is how long work takes, 100 as usual.
	Percent int
}

// newSlowdownProgress returns the message for progress whose load tells the target's slowness.
func newSlowdownProgress(s *progressMessage) *slowdownProgressMessage {
	return &slowdownProgressMessage{Progress: *s, Percent: int(math.Round(float64(s.Load.Slowdown) * percent))}
}

// progress returns the progress with the slowness in its load.
func (m *slowdownProgressMessage) progress() *progressMessage {
	s := m.Progress
	if s.Load != nil {
		load := *s.Load
		load.Slowdown = slowdown.Factor(float64(m.Percent) / percent)
		s.Load = &load
	}
	return &s
}

// percent converts a factor to the unit of slowdownProgressMessage.
const percent = 100

// syncMessage lists an entry's running requests on the targets of a service. It has those
// whose number modulo Pages is Page, so that the owner can apply each page without the others.
type syncMessage struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Page    uint64
	Pages   uint64
	Items   []runningItem
}

// runningItem is one running request.
type runningItem struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Incarnation ids.TargetIncarnation // of its target
	Begun       bool                  // the target has begun to answer
	Tier        ids.TierRank
	Prompt      ids.Tokens
	Events      int // as in planner.Job
	Account     ids.Account
	Movable     bool // as in planner.Job
}

// itemsPerPage is the number of items of a syncMessage that always fit into one datagram. Requests are spread over
// pages by their numbers, so that a page may have more.
const itemsPerPage = 14
