package quarantine

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/packets"
)

const (
	// turnFor is for how long a turn lasts at the most: targets end within a fraction of it under
	// a request that ends them, and others that wait are not to wait for a long answer.
	turnFor = clock.Second
	// turnAnswer is how long the home of a digest is waited for, and turnSilences how often, before
	// an entry goes by its own turns alone.
	turnAnswer   = 25 * clock.Millisecond
	turnSilences = 3
)

// turnAsk wants the turn of a digest from its home; turnDone gives it back.
type turnAsk struct {
	_      struct{} `cbor:",toarray"`
	Digest Digest
	Number uint64
}

type turnDone turnAsk

// turnAnswered is the home's word on an ask.
type turnAnswered struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Granted bool
}

// turn is one run's place in the turns of its digest.
type turn struct {
	digest   Digest
	number   uint64
	answers  chan bool
	asked    bool
	silences int
	alone    bool // taken without the home
}

// runner is a run of some entry.
type runner struct {
	at     netip.AddrPort
	number uint64
}

// holder has a turn.
type holder struct {
	runner
	until clock.Millis
}

// turns has the runs of suspected requests follow one another, each at one entry at a time. The
// home of a digest says whose turn it is. While entries differ on the home, there may be two turns.
type turns struct {
	common.Common
	peers Peers
	link  *packets.Link
	self  netip.AddrPort

	mu      sync.Mutex
	number  uint64
	asking  map[uint64]*turn
	holders map[Digest]holder
	alone   map[Digest]holder // turns taken here without the home
}

func newTurns(c common.Common, peers Peers, link *packets.Link, self netip.AddrPort) *turns {
	t := &turns{
		Common: c, peers: peers, link: link, self: self, number: c.Random.Fork().Uint64(),
		asking: make(map[uint64]*turn), holders: make(map[Digest]holder), alone: make(map[Digest]holder),
	}
	if peers != nil {
		link.Handle(packets.KindRunAsk, packets.Receive(link, t.asked))
		link.Handle(packets.KindRunAnswer, packets.Receive(link, t.answered))
		link.Handle(packets.KindRunDone, packets.Receive(link, t.done))
	}
	return t
}

// matter is that by which entries name the home of a digest.
func matter(d Digest) string { return "quarantine/" + string(d[:]) }

// begin returns a turn that is not taken yet.
func (t *turns) begin(d Digest) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	return &turn{digest: d, number: t.number, answers: make(chan bool, 1)}
}

// take asks for a turn once. It waits for the answer of the home.
func (t *turns) take(ctx context.Context, own *turn) bool {
	if t.peers == nil || own.silences >= turnSilences {
		return t.takeAlone(own)
	}
	home, self := t.peers.Owner(matter(own.digest))
	own.asked = true
	if self {
		return t.grant(own.digest, runner{t.self, own.number})
	}
	t.mu.Lock()
	t.asking[own.number] = own
	t.mu.Unlock()
	t.link.Send(home, packets.KindRunAsk, turnAsk{Digest: own.digest, Number: own.number})
	timer := time.NewTimer(turnAnswer.Duration())
	defer timer.Stop()
	select {
	case granted := <-own.answers:
		own.silences = 0
		return granted
	case <-timer.C:
		own.silences++
	case <-ctx.Done():
	}
	return false
}

// takeAlone takes a turn among the runs of this entry.
func (t *turns) takeAlone(own *turn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own.alone = grant(t.alone, t.Clock.Now(), own.digest, runner{t.self, own.number})
	return own.alone
}

// grant gives a digest's turn to a run unless another one has it.
func (t *turns) grant(d Digest, to runner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return grant(t.holders, t.Clock.Now(), d, to)
}

func grant(among map[Digest]holder, now clock.Millis, d Digest, to runner) bool {
	if h, taken := among[d]; taken && now < h.until && h.runner != to {
		return false
	}
	among[d] = holder{to, now + turnFor}
	return true
}

// release gives a turn back, taken or not; nil is none.
func (t *turns) release(own *turn) {
	if own == nil {
		return
	}
	t.mu.Lock()
	delete(t.asking, own.number)
	if own.alone {
		free(t.alone, own.digest, runner{t.self, own.number})
	}
	t.mu.Unlock()
	if !own.asked {
		return
	}
	done := turnDone{Digest: own.digest, Number: own.number}
	home, self := t.peers.Owner(matter(own.digest))
	if self {
		t.done(t.self, &done)
		return
	}
	t.link.Send(home, packets.KindRunDone, done)
}

func free(among map[Digest]holder, d Digest, from runner) {
	if among[d].runner == from {
		delete(among, d)
	}
}

// asked answers an entry that wants a turn.
func (t *turns) asked(from netip.AddrPort, a *turnAsk) {
	granted := t.grant(a.Digest, runner{from, a.Number})
	t.link.Send(from, packets.KindRunAnswer, turnAnswered{Number: a.Number, Granted: granted})
}

// answered takes the home's answer.
func (t *turns) answered(_ netip.AddrPort, a *turnAnswered) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.asking[a.Number]; own != nil {
		select {
		case own.answers <- a.Granted:
		default: // an earlier answer has not been looked at
		}
	}
}

// done takes a turn back.
func (t *turns) done(from netip.AddrPort, d *turnDone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	free(t.holders, d.Digest, runner{from, d.Number})
}

// prune drops turns that are long over.
func (t *turns) prune(now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, among := range []map[Digest]holder{t.holders, t.alone} {
		for d, h := range among {
			if now >= h.until {
				delete(among, d)
			}
		}
	}
}
