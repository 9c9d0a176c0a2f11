package quarantine

import (
	"crypto/sha256"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// An account that sends ever other requests under which targets end on a route is suspected itself there: what these
// have in common is who sends them. Of its requests on that route only those that were completed meanwhile run as
// ever; all others run in turn, one at a time over all entries, and after each further end none of them does for a
// while, twice as long each time.

const (
	// suspectAccount is from how many requests of one account held back on that the first end under another one of
	// it is enough, and the account is suspected.
	suspectAccount = 4
	// suspectWithin is within what time these were held back for the account to be suspected, and for how long it
	// is after the last end.
	suspectWithin = clock.Minute
	// heldApart is how long after one request another one has to be held back to count: where all targets are lost at
	// once, many innocent requests of one account are in the same moment, and the account would be suspected for them.
	heldApart = 500 * clock.Millisecond
	// firstPause and mostPause bound for how long nothing of a suspected account runs after an end.
	firstPause = clock.Second
	mostPause  = 30 * clock.Second
	// mostSound bounds the requests of a suspected account that are known to be completed.
	mostSound = 4096
)

// holdings is what is known of one account: how many records it has, how many of them are held back, and what it
// does on each route.
type holdings struct {
	records, held int
	routes        map[ids.Route]*conduct
}

// on returns what is known of the account on a route.
func (h *holdings) on(route ids.Route) *conduct {
	c := h.routes[route]
	if c == nil {
		c = &conduct{}
		if h.routes == nil {
			h.routes = make(map[ids.Route]*conduct)
		}
		h.routes[route] = c
	}
	return c
}

// conduct is what an account does on one route.
type conduct struct {
	// heldAt are the moments at which the last ones were held back, the oldest first.
	heldAt [suspectAccount]clock.Millis
	// suspectUntil is until when the account is suspected, freeAt when its next request may run, and pause the time
	// between the last end and that.
	suspectUntil, freeAt, pause clock.Millis
	sound                       map[Digest]bool
}

// noteHeld notes that one more request is held back.
func (c *conduct) noteHeld(now clock.Millis) {
	if last := c.heldAt[suspectAccount-1]; last > 0 && now-last < heldApart {
		return
	}
	copy(c.heldAt[:], c.heldAt[1:])
	c.heldAt[suspectAccount-1] = now
	if c.heldAt[0] > 0 && now-c.heldAt[0] <= suspectWithin {
		c.suspectUntil = now + suspectWithin
	}
}

// noteEnd notes that a target has ended under a request.
func (c *conduct) noteEnd(now clock.Millis) {
	if !c.suspected(now) {
		c.pause, c.sound = 0, nil
		return
	}
	c.suspectUntil = now + suspectWithin
	c.pause = min(mostPause, max(firstPause, 2*c.pause))
	c.freeAt = now + c.pause
}

func (c *conduct) suspected(now clock.Millis) bool { return now < c.suspectUntil }

// noteSound notes that a request was completed. Where there are too many, those known so far have to prove
// themselves again.
func (c *conduct) noteSound(d Digest) {
	if c.sound == nil || len(c.sound) >= mostSound {
		c.sound = make(map[Digest]bool)
	}
	c.sound[d] = true
}

// Suspected reports whether a request runs in the turn of its account, which is suspected, and in what time it may at
// the soonest.
func (r *Register) Suspected(now clock.Millis, q Request) (suspected bool, wait clock.Millis) {
	if r.count.Load() == 0 {
		return false, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conduct(q)
	if c == nil || !c.suspected(now) || c.sound[q.Digest] {
		return false, 0
	}
	return true, max(0, c.freeAt-now)
}

// Sound notes that a request of an account was completed.
func (r *Register) RecordSuccess(now clock.Millis, q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.conduct(q); c != nil && c.suspected(now) {
		c.noteSound(q.Digest)
	}
}

// conduct is what is known of a request's account on its route, or nil; the lock is held.
func (r *Register) conduct(q Request) *conduct {
	h := r.accounts[q.Account]
	if h == nil {
		return nil
	}
	return h.routes[q.Route]
}

// accountDigest stands for all requests of an account on a route, where turns are given.
func accountDigest(q Request) Digest {
	sum := sha256.Sum256([]byte("account\x00" + string(q.Account) + "\x00" + string(q.Route)))
	return Digest(sum[:len(Digest{})])
}
