package quarantine

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/packets"
)

const (
	// runLimit is how long an exclusive run lasts at most: targets end within a fraction of it under a request that
	// ends them, and others should not wait for a long answer.
	runLimit = clock.Second
	// ownerTimeout is how long an entry waits for the answer of a digest's owner, and maxSilences how many times in a
	// row a run waits in vain before its entry grants it on its own.
	ownerTimeout = 25 * clock.Millisecond
	maxSilences  = 3
)

// runRequest requests the exclusive run of a digest from its owner; runRelease releases it. Number is the run's number
// at the entry that sends the message.
type runRequest struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Number uint64
}

type runRelease runRequest

// runAnswer is the owner's answer to a request.
type runAnswer struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64   // of the request that it answers
	Granted bool
}

// exclusiveRun is one run of this entry, waiting for or holding the exclusive run of its digest. Only the goroutine
// that runs the request uses it, except for answers.
type exclusiveRun struct {
	digest   Digest    // of the request, or accountDigest
	number   uint64    // of this run at this entry, by which the owner and its answers name it
	answers  chan bool // whether the owner granted it; room for one answer
	queried  bool      // the owner was asked, and may hold a grant to be released
	silences int       // queries in a row that the owner did not answer
	local    bool      // granted without the owner
}

// runID identifies a run of some entry.
type runID struct {
	at     netip.AddrPort // the entry's address
	number uint64
}

// runHolder is the run that holds the exclusive run of a digest, until it releases it or the time is over.
type runHolder struct {
	runID
	until clock.Millis
}

// exclusiveRuns has runs of suspected requests follow one another, one at a time over all entries. The owner of a
// digest grants them. While entries disagree on the owner, there may be two at a time.
type exclusiveRuns struct {
	common.Common
	peers Peers
	link  *packets.Link
	self  netip.AddrPort

	mu      sync.Mutex
	number  uint64                   // of the newest run here; it starts at random at each start of the process
	waiting map[uint64]*exclusiveRun // by number: runs whose owner was asked, until they are released
	granted map[Digest]runHolder     // granted here as the owner
	local   map[Digest]runHolder     // granted here without the owner
}

// newExclusiveRuns returns exclusive runs without holders. Without peers, which may be nil, this entry grants them
// alone.
func newExclusiveRuns(c common.Common, peers Peers, link *packets.Link, self netip.AddrPort) *exclusiveRuns {
	t := &exclusiveRuns{
		Common: c, peers: peers, link: link, self: self, number: c.Random.Fork().Uint64(),
		waiting: make(map[uint64]*exclusiveRun), granted: make(map[Digest]runHolder), local: make(map[Digest]runHolder),
	}
	if peers != nil {
		link.Handle(packets.KindRunAsk, packets.Receive(link, t.receiveRequest))
		link.Handle(packets.KindRunAnswer, packets.Receive(link, t.receiveAnswer))
		link.Handle(packets.KindRunDone, packets.Receive(link, t.receiveRelease))
	}
	return t
}

// shard returns the shard that determines the owner of a digest.
func shard(d Digest) string { return "quarantine/" + string(d[:]) }

// newRun returns an exclusive run that has not been granted yet.
func (x *exclusiveRuns) newRun(d Digest) *exclusiveRun {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.number++
	return &exclusiveRun{digest: d, number: x.number, answers: make(chan bool, 1)}
}

// acquire requests an exclusive run once and waits for the owner's answer. It returns false if another run holds it, or
// if no answer comes within ownerTimeout or before ctx ends.
func (x *exclusiveRuns) acquire(ctx context.Context, run *exclusiveRun) bool {
	if x.peers == nil || run.silences >= maxSilences {
		return x.acquireLocal(run)
	}
	owner, self := x.peers.Owner(shard(run.digest))
	run.queried = true
	if self {
		return x.grant(run.digest, runID{x.self, run.number})
	}
	x.mu.Lock()
	x.waiting[run.number] = run
	x.mu.Unlock()
	x.link.Send(owner, packets.KindRunAsk, runRequest{Digest: run.digest, Number: run.number})
	timer := clock.NewTimer(ownerTimeout)
	defer timer.Stop()
	select {
	case granted := <-run.answers:
		run.silences = 0
		return granted
	case <-timer.C:
		run.silences++
	case <-ctx.Done():
	}
	return false
}

// acquireLocal acquires an exclusive run among the runs of this entry.
func (x *exclusiveRuns) acquireLocal(run *exclusiveRun) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	run.local = grantRun(x.local, x.Clock.Now(), run.digest, runID{x.self, run.number})
	return run.local
}

// grant grants a digest's exclusive run unless another run holds it.
func (x *exclusiveRuns) grant(d Digest, to runID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return grantRun(x.granted, x.Clock.Now(), d, to)
}

// grantRun makes a run the holder for runLimit, also if it is that already, and reports whether it is. The caller holds
// the lock.
func grantRun(holders map[Digest]runHolder, now clock.Millis, d Digest, to runID) bool {
	if h, taken := holders[d]; taken && now < h.until && h.runID != to {
		return false
	}
	holders[d] = runHolder{to, now + runLimit}
	return true
}

// release releases an exclusive run here and at the owner, if that was asked, whether granted or not; nil is allowed.
func (x *exclusiveRuns) release(run *exclusiveRun) {
	if run == nil {
		return
	}
	x.mu.Lock()
	delete(x.waiting, run.number)
	if run.local {
		freeRun(x.local, run.digest, runID{x.self, run.number})
	}
	x.mu.Unlock()
	if !run.queried {
		return
	}
	done := runRelease{Digest: run.digest, Number: run.number}
	owner, self := x.peers.Owner(shard(run.digest))
	if self {
		x.receiveRelease(x.self, &done)
		return
	}
	x.link.Send(owner, packets.KindRunDone, done)
}

// freeRun releases a digest's exclusive run if the given run holds it. The caller holds the lock.
func freeRun(holders map[Digest]runHolder, d Digest, from runID) {
	if holders[d].runID == from {
		delete(holders, d)
	}
}

// receiveRequest answers an entry that requests an exclusive run.
func (x *exclusiveRuns) receiveRequest(from netip.AddrPort, a *runRequest) {
	granted := x.grant(a.Digest, runID{from, a.Number})
	x.link.Send(from, packets.KindRunAnswer, runAnswer{Number: a.Number, Granted: granted})
}

// receiveAnswer passes the owner's answer on to the run that waits for it. The send never blocks under the lock.
func (x *exclusiveRuns) receiveAnswer(_ netip.AddrPort, a *runAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if run := x.waiting[a.Number]; run != nil {
		select {
		case run.answers <- a.Granted:
		default: // an earlier answer has not been read yet
		}
	}
}

// receiveRelease releases, as the owner, an exclusive run that the entry at from held. If another run holds it by now,
// it does nothing.
func (x *exclusiveRuns) receiveRelease(from netip.AddrPort, d *runRelease) {
	x.mu.Lock()
	defer x.mu.Unlock()
	freeRun(x.granted, d.Digest, runID{from, d.Number})
}

// prune removes the holders of exclusive runs whose runLimit is over.
func (x *exclusiveRuns) prune(now clock.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, holders := range []map[Digest]runHolder{x.granted, x.local} {
		for d, h := range holders {
			if now >= h.until {
				delete(holders, d)
			}
		}
	}
}
