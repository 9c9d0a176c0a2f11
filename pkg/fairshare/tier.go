package fairshare

import (
	"math"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Tier holds the accounts of one tier. It keeps only those that hold or ask for service, or did so lately.
type Tier struct {
	byName      map[ids.Account]*Account
	accounts    []*Account // the same, in the order in which they came, so that sums are repeatable
	virtualTime float64    // served value of the account that was charged last, before that charge
	leaves      int        // calls of Leave since accounts were last forgotten by it
	observed    observation
	claims      []claim // reused by Classify
}

// NewTier returns a tier without accounts, whose use is observed from now on.
func NewTier(now clock.Millis) *Tier {
	return &Tier{byName: make(map[ids.Account]*Account), observed: newObservation(now)}
}

// Account returns the account with a name, which it adds with the given weight if it is missing.
func (t *Tier) Account(now clock.Millis, name ids.Account, weight float64) *Account {
	a := t.byName[name]
	if a == nil {
		a = &Account{Name: name, weight: positive(weight), use: decayingUse{at: max(now, t.observed.start)}}
		t.byName[name] = a
		t.accounts = append(t.accounts, a)
	}
	return a
}

// positive returns a weight, or 1 if it is not above 0.
func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// Len returns the number of accounts.
func (t *Tier) Len() int {
	return len(t.byName)
}

// Join starts a busy period of an account, which starts level with the others: it neither keeps a credit for its idle
// time nor pays for service got before.
func (t *Tier) Join(a *Account) {
	a.served = max(a.served, t.virtualTime)
	a.busy = true
}

// Charge records that an account is served so many units next, as the least served one.
func (t *Tier) Charge(a *Account, units, weight float64) {
	t.virtualTime = a.served
	a.served += units / positive(weight)
}

// Leave ends a busy period of an account. Those without one are forgotten once they would start level with the others if
// they came back, as new ones do; all are looked at once in as many calls as there are accounts.
func (t *Tier) Leave(a *Account) {
	a.busy = false
	if t.leaves++; t.leaves < len(t.accounts) {
		return
	}
	t.leaves = 0
	t.forget(func(a *Account) bool { return !a.busy && a.served <= t.virtualTime })
}

// forget removes the accounts for which gone returns true.
func (t *Tier) forget(gone func(*Account) bool) {
	t.accounts = slices.DeleteFunc(t.accounts, func(a *Account) bool {
		if !gone(a) {
			return false
		}
		delete(t.byName, a.Name)
		return true
	})
}

// Ask records that an account asks for a place.
func (t *Tier) Ask(now clock.Millis, a *Account) {
	a.advance(&t.observed, now)
	a.asked++
}

// Start records that an account holds one more place, for which it has asked.
func (t *Tier) Start(now clock.Millis, a *Account) {
	a.advance(&t.observed, now)
	a.granted++
	a.running++
}

// End records that an account holds one place fewer.
func (t *Tier) End(now clock.Millis, a *Account) {
	a.advance(&t.observed, now)
	a.running = max(0, a.running-1)
}

// Classify compares the demand and the use of each account with its share, and forgets idle accounts. It reports whether
// at least two accounts are left: with one there is nothing to share. The capacity is what all hold together, so that no
// account has to leave a place free that no other asks for.
func (t *Tier) Classify(now clock.Millis) (shared bool) {
	t.forget(func(a *Account) bool {
		a.advance(&t.observed, now)
		return a.idle()
	})
	capacity := 0.0
	t.claims = t.claims[:0]
	for _, a := range t.accounts {
		capacity += a.use.mean
		t.claims = append(t.claims, claim{demand: a.demand(), weight: a.weight})
	}
	shared = len(t.accounts) > 1
	lambda := math.Inf(1)
	if shared {
		lambda = level(capacity, t.claims)
	}
	for _, a := range t.accounts {
		a.classify(lambda)
	}
	return shared
}

// classify sets the account's share and class by the max-min level.
func (a *Account) classify(lambda float64) {
	a.share = lambda * a.weight
	switch {
	case a.demand() <= a.share:
		a.class = Within
	case a.use.mean <= a.share:
		a.class = Below
	default:
		a.class = Above
	}
}

// Accounts returns all accounts, in the order in which they came. The caller must not change the slice.
func (t *Tier) Accounts() []*Account {
	return t.accounts
}

// Reweigh sets the weights of all accounts.
func (t *Tier) Reweigh(weight func(ids.Account) float64) {
	for _, a := range t.accounts {
		a.weight = positive(weight(a.Name))
	}
}

// Standings returns the standings of all accounts by the last Classify.
func (t *Tier) Standings() []Standing {
	list := make([]Standing, 0, len(t.accounts))
	for _, a := range t.accounts {
		list = append(list, a.Standing())
	}
	return list
}

// Find returns the account with a name, or nil.
func (t *Tier) Find(name ids.Account) *Account {
	return t.byName[name]
}
