// Package dispatch brings the requests of all entries before one planner for
// each group of targets. The planner of a group runs at its home, one of the
// entries; it keeps nothing that its entries could not tell it again, so that
// another entry takes over within a few greetings. An entry without a home
// places by its own counts.
package dispatch

import (
	"net/netip"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/planner"
	"quaydock/pkg/ratelimit"
)

// ask wants a target for a request. It is sent again while there is no final
// answer. Moments mean nothing on another VM, so that those of the job are left
// out, and lengths of time stand beside it.
type ask struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Service   ids.Service
	Waited    clock.Millis // since it came to its entry
	Remaining clock.Millis // to its deadline
	Job       planner.Job
}

// job puts the job on this VM's clock.
func (a *ask) job(from netip.AddrPort, now clock.Millis) planner.Job {
	j := a.Job
	j.ID = planner.JobID{Entry: from.String(), Number: a.Number}
	j.Arrived = now - a.Waited
	j.Deadline = now + a.Remaining
	return j
}

// verdict is the kind of an answer.
type verdict int

const (
	queued verdict = iota
	granted
	refused
	noTarget
	move    // a request that runs is better sent elsewhere
	resting // refused, as all targets rest from its entry
)

// answer is the home's word on an ask.
type answer struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Verdict    verdict
	Life       ids.TargetIncarnation // of the target that is granted
	RetryAfter clock.Millis
	// Ahead and Wait are what a refusal stands on.
	Ahead int
	Wait  clock.Millis
	// Takes is what the home knows of how many requests a second the target takes, nil if nothing, and Counted says
	// that the grant is one of these.
	Takes   *ratelimit.AgedReport
	Counted bool
}

// progress is how far a request has come.
type progress int

const (
	begun progress = iota
	done
	withdrawn
)

// step tells the progress of a request.
type step struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Service  ids.Service
	Progress progress
	Outcome  planner.Outcome
	Flow     planner.StreamStats // with done
	Load     *planner.Load       // with begun, if the target told it
}

// sync lists what an entry has on the targets of a service; a request whose
// number modulo Pages is Page stands on this page.
type sync struct {
	_       struct{} `cbor:",toarray"`
	Service ids.Service
	Page    uint64
	Pages   uint64
	Items   []item
}

// item is one request on a target.
type item struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Life    ids.TargetIncarnation // of its target
	Begun   bool
	Tier    ids.TierRank
	Prompt  ids.Tokens
	Events  int
	Account ids.Account
	Movable bool
}

// pageItems is how many items surely fit into one datagram.
const pageItems = 14
