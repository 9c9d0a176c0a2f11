package quarantine

import (
	"crypto/sha256"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// An account that keeps sending new requests under which targets end on a route comes under suspicion there itself:
// what these requests have in common is their sender. Of its requests on that route only those that have been
// completed meanwhile run without restriction. All others run exclusively, one at a time over all entries, and after
// each further target end none of them runs for a pause that doubles each time.

const (
	// accountHeldThreshold is the number of quarantined requests of one account from which on the account is
	// suspected, and from which on the first target end is enough to quarantine a further request.
	accountHeldThreshold = 4
	// accountWindow is the time within which these must have been quarantined for the account to be suspected, and how
	// long it stays so after the last target end.
	accountWindow = clock.Minute
	// minHeldInterval is the minimum time between two quarantined requests that both count: if all targets are lost at
	// once, many innocent requests of one account are quarantined at the same moment, and would bring the account
	// under suspicion.
	minHeldInterval = 500 * clock.Millisecond
	// minPause and maxPause limit how long no exclusive run of a suspected account begins after a target end.
	minPause = clock.Second
	maxPause = 30 * clock.Second
	// maxSucceeded limits the requests of a suspected account on one route that are remembered as completed.
	maxSucceeded = 4096
)

// accountState is what is known of one account: the number of its records, how many of them are quarantined, and its
// state on each route. The register's lock guards it.
type accountState struct {
	records, held int
	routes        map[ids.Route]*routeState
}

// route returns the state of the account on a route, and creates it if necessary. The caller holds the register's lock.
func (a *accountState) route(route ids.Route) *routeState {
	c := a.routes[route]
	if c == nil {
		c = &routeState{}
		if a.routes == nil {
			a.routes = make(map[ids.Route]*routeState)
		}
		a.routes[route] = c
	}
	return c
}

// routeState is what is known of one account on one route. The register's lock guards it, also in its methods.
type routeState struct {
	// heldAt are the moments at which the last requests were quarantined, the oldest first; 0 where there was none.
	heldAt [accountHeldThreshold]clock.Millis
	// The account is suspected until suspectUntil, and its next exclusive run may begin at freeAt. pause is the time
	// between the last target end and freeAt. All are 0 before the first suspicion.
	suspectUntil, freeAt, pause clock.Millis
	// succeeded are the requests completed while the account was suspected.
	succeeded map[Digest]bool
}

// recordHeld records that one more request has been quarantined. The account is suspected once accountHeldThreshold of
// them fall within accountWindow; one that follows another within minHeldInterval is ignored. The caller holds the
// register's lock.
func (c *routeState) recordHeld(now clock.Millis) {
	if last := c.heldAt[accountHeldThreshold-1]; last > 0 && now-last < minHeldInterval {
		return
	}
	copy(c.heldAt[:], c.heldAt[1:])
	c.heldAt[accountHeldThreshold-1] = now
	if c.heldAt[0] > 0 && now-c.heldAt[0] <= accountWindow {
		c.suspectUntil = now + accountWindow
	}
}

// recordEnd records that a target has ended under a request. For a suspected account it extends the suspicion and
// starts the next, doubled pause; for any other it clears what remains of an earlier suspicion. The caller holds the
// register's lock.
func (c *routeState) recordEnd(now clock.Millis) {
	if !c.suspected(now) {
		c.pause, c.succeeded = 0, nil
		return
	}
	c.suspectUntil = now + accountWindow
	c.pause = min(maxPause, max(minPause, 2*c.pause))
	c.freeAt = now + c.pause
}

// suspected reports whether the account is suspected on the route.
func (c *routeState) suspected(now clock.Millis) bool { return now < c.suspectUntil }

// recordSuccess records that a request was completed. If there are maxSucceeded already, all known ones are dropped and
// have to be completed again. The caller holds the register's lock.
func (c *routeState) recordSuccess(d Digest) {
	if c.succeeded == nil || len(c.succeeded) >= maxSucceeded {
		c.succeeded = make(map[Digest]bool)
	}
	c.succeeded[d] = true
}

// AccountSuspicion reports whether a request runs exclusively for its account, which is suspected, and how long it must
// wait at least. It returns false also for a request of such an account that has been completed meanwhile.
func (r *Register) AccountSuspicion(now clock.Millis, q Request) (suspected bool, wait clock.Millis) {
	if r.count.Load() == 0 {
		return false, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.routeState(q)
	if c == nil || !c.suspected(now) || c.succeeded[q.Digest] {
		return false, 0
	}
	return true, max(0, c.freeAt-now)
}

// Succeeded records that a request was completed, so that it runs without restriction while its account is suspected.
// For an account that is not suspected it does nothing.
func (r *Register) Succeeded(now clock.Millis, q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.routeState(q); c != nil && c.suspected(now) {
		c.recordSuccess(q.Digest)
	}
}

// routeState returns what is known of a request's account on its route, or nil. The caller holds the lock.
func (r *Register) routeState(q Request) *routeState {
	h := r.accounts[q.Account]
	if h == nil {
		return nil
	}
	return h.routes[q.Route]
}

// accountDigest stands for all requests of an account on a route when exclusive runs are granted.
func accountDigest(q Request) Digest {
	sum := sha256.Sum256([]byte("account\x00" + string(q.Account) + "\x00" + string(q.Route)))
	return Digest(sum[:len(Digest{})])
}
