// Package metering keeps what client accounts may have run within its bound
// over all entries together. Each account has a home among the entries, which
// keeps its one bucket; an entry asks it before a request runs. While no home
// answers, an entry spends a small share of its own, which is taken from the
// margin between the allowance and the bound.
package metering

import (
	"context"
	"net/netip"
	"sync"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/ids"
	"quaydock/pkg/membership"
	"quaydock/pkg/packets"
	"quaydock/pkg/quota"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
)

// Bounds say how far the sum over all entries may go beyond an account's
// allowance.
type Bounds struct {
	// Over is a part of the allowance, Slack is in units, both for any Window.
	Over   float64
	Slack  float64
	Window clock.Millis
}

// leastWindow is the shortest window that bounds are kept for. Settings may name none, and with a
// window of 0 the rates that are divided by it would be endless: accounts would have no limit.
const leastWindow = clock.Second

// kept returns the bounds with a window of leastWindow at the least.
func (b Bounds) kept() Bounds {
	b.Window = max(b.Window, leastWindow)
	return b
}

const (
	// askAgain is after what time an unanswered claim is sent once more, askFor
	// for how long an answer is awaited in all: a home is one hop away.
	askAgain = 12 * clock.Millisecond
	askFor   = 36 * clock.Millisecond
	// askAtStart is that time at an entry that has just started: the home may have started
	// with it and not know the accounts yet. Callers lose less by it than by a refusal, and
	// it is within what they bear: an eighth of an objective of a second.
	askAtStart = 120 * clock.Millisecond
	// marginPart is the part of the margin that entries spend on their own.
	marginPart = 0.2
	// homePart is the part of the margin that homes give out beyond the
	// allowance in any window, so that what an account may have run is never cut
	// short by what is under way.
	homePart = 0.1
	// burstPart is the part of the margin up to which a home lets an account's
	// burst flow again and again, once in each window, instead of once and then
	// only when the account has asked for less for a while. The rest is for what
	// is under way, and for homes that begin anew.
	burstPart = 0.4
	// freshMost and freshPart are how full a home's bucket is at first: the one at
	// the most, and the other as a part of the margin. A home that begins anew
	// hears from the entries what they have had of late; only if all have lost it
	// does this count, and then nothing has been served for as long as it takes
	// to start, while callers kept asking. With 0.28 of the margin, homes that change
	// each second give out 0.03% more than is left for it, with 0.25 they do not.
	freshMost = 0.5
	freshPart = 0.25
	// unlistedWait is when to come back to an entry that has no part of the allowance yet: it
	// reads the list of entries within some ms of the store's answering.
	unlistedWait = 300 * clock.Millisecond
	// debtPart is the part of the margin up to which requests at all entries together may
	// leave debts, where each entry holds a small part of the allowance (see debt).
	debtPart = 0.1
	// majority is the part of the entries beyond which a home's backing makes it the only one
	// with so much.
	majority = 0.5
	// silentFor is how long a home that did not answer is not asked again.
	silentFor = 150 * clock.Millisecond
)

// claim asks the home of an account whether units may run.
type claim struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Account ids.Account
	Units   float64
	// Keep is the part of the account's burst that it leaves to others.
	Keep float64
	// Had is what the account has had run at this entry in the last window.
	Had float64
	// Run tells the asker's process from earlier ones at its address.
	Run uint64
	// Lives is what the home has told the asker of itself, in its present and former lives.
	Lives []lifeReport
}

// lifeReport is what an account had had run at one life of an entry, in the window before it was told.
type lifeReport struct {
	_   struct{} `cbor:",toarray"`
	Run uint64
	Had float64
	// Age is how long ago it was told.
	Age clock.Millis
}

// reply is the home's answer. Wait says when to come back if not taken.
type reply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Taken  bool
	Wait   clock.Millis
	// Had is what the account has had run at the home itself, for the asker to
	// know should it be the next home.
	Had float64
	// Run tells the home's process from earlier ones at its address.
	Run uint64
	// Unknown says that the home has no limit for the account: its configuration is older than the
	// asker's, or newer. Nothing was counted.
	Unknown bool
}

// giveBack says that units that were taken did not run.
type giveBack struct {
	_       struct{} `cbor:",toarray"`
	Account ids.Account
	Units   float64
}

// apart is the last time that some entries had another home than this one for what it was the home of.
type apart struct {
	seenAt clock.Millis
	part   float64      // of the entries, the largest
	length clock.Millis // for how long, up to a window
}

// Meter is one entry's part in the bookkeeping.
type Meter struct {
	common.Common
	bounds  Bounds
	view    *view.View
	members *membership.Members
	link    *packets.Link
	books   *quota.Allowance // of the accounts whose home this entry is
	own     *quota.Allowance // spent while no home answers
	had     *quota.Ledger    // what accounts had run at this entry
	reports reports          // what they had run at others, as last told
	run     uint64           // tells this process from earlier ones at its address

	mu sync.Mutex
	// agreedAt is when all entries were last known to take this one for the home where it is.
	agreedAt clock.Millis
	apart    apart
	number   uint64
	asked    map[uint64]chan reply
	silent   map[netip.AddrPort]clock.Millis // homes not to be asked until
	given    map[uint64]reply                // answers given to claims, by asker and number
	order    []uint64
}

// New returns a meter with nothing spent.
func New(c common.Common, bounds Bounds, v *view.View, members *membership.Members, link *packets.Link) *Meter {
	m := &Meter{
		Common: c, bounds: bounds.kept(), view: v, members: members, link: link,
		own: quota.NewAllowance(),
		had: quota.NewLedger(), reports: reports{of: make(map[ids.Account]map[reporter]report)},
		run: c.Random.Fork().Uint64(), number: c.Random.Fork().Uint64(),
		asked: make(map[uint64]chan reply), silent: make(map[netip.AddrPort]clock.Millis), given: make(map[uint64]reply),
		agreedAt: c.Clock.Now(),
	}
	m.books = quota.NewFilledAllowance(m.fresh)
	link.Handle(packets.KindQuotaTake, packets.Receive(link, m.claimed))
	link.Handle(packets.KindQuotaReply, packets.Receive(link, m.replied))
	link.Handle(packets.KindQuotaReturn, packets.Receive(link, m.returned))
	return m
}

// SetBounds changes the bounds.
func (m *Meter) SetBounds(bounds Bounds) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bounds = bounds.kept()
}

func (m *Meter) window() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bounds.Window
}

// margin is what the bounds leave beyond an account's allowance in a window, and
// the window in seconds.
func (m *Meter) margin(account *routing.Account) (units, window float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window = float64(m.bounds.Window) / float64(clock.Second)
	return m.bounds.Over*(account.PerSecond*window+account.Burst) + m.bounds.Slack, window
}

// Take counts units against an account's allowance. If it may not run them, it
// returns when to come back. keep is the part of the account's burst that is to
// be left for others.
func (m *Meter) Take(ctx context.Context, account *routing.Account, units, keep float64) (bool, clock.Millis) {
	if account.PerSecond <= 0 {
		return true, 0
	}
	taken, wait := m.take(ctx, account, units, keep)
	if taken {
		m.had.Add(m.Clock.Now(), account.Name, m.window(), units)
	}
	return taken, wait
}

func (m *Meter) take(ctx context.Context, account *routing.Account, units, keep float64) (bool, clock.Millis) {
	if m.Ablation.Off(ablation.QuotaHomes) {
		return m.spendOwn(account, units)
	}
	home, self := m.members.Owner(matter(account.Name))
	had := m.had.Sum(m.Clock.Now(), account.Name, m.window())
	if self {
		return m.book(netip.AddrPort{}, account, claim{Units: units, Keep: keep, Had: had, Run: m.run})
	}
	lives := m.reports.lives(m.Clock.Now(), account.Name, home, m.window())
	question := claim{Account: account.Name, Units: units, Keep: keep, Had: had, Run: m.run, Lives: lives}
	if answer, answered := m.ask(ctx, home, question); answered {
		m.agreed()
		m.reports.set(account.Name, reporter{home, answer.Run}, report{had: answer.Had, at: m.Clock.Now()})
		if answer.Unknown {
			m.Metrics.Links.Add("quota_homes_unaware", 1)
			return m.spendOwn(account, units)
		}
		return answer.Taken, answer.Wait
	}
	m.Metrics.Links.Add("quota_homes_silent", 1)
	return m.spendOwn(account, units)
}

// Return gives back units that were taken at a moment and did not run.
func (m *Meter) Return(account *routing.Account, units float64, taken clock.Millis) {
	if account.PerSecond <= 0 {
		return // their taking was not noted
	}
	m.had.Refund(m.Clock.Now(), taken, account.Name, m.window(), units)
	home, self := m.members.Owner(matter(account.Name))
	if self {
		m.books.Return(account.Name, units)
		return
	}
	m.link.Send(home, packets.KindQuotaReturn, giveBack{Account: account.Name, Units: units})
}

// Forget drops the buckets of accounts that are gone.
func (m *Meter) Forget(known func(ids.Account) bool) {
	m.books.Forget(known)
	m.own.Forget(known)
	m.had.Forget(known)
	m.reports.forget(known)
}

func matter(account ids.Account) string {
	return "account/" + string(account)
}

// spendOwn counts against this entry's share of the margin.
func (m *Meter) spendOwn(account *routing.Account, units float64) (bool, clock.Millis) {
	margin, window := m.margin(account)
	// Half of it flows over the window, half may go at once.
	alone := *account
	alone.PerSecond = marginPart * margin / 2 / window
	alone.Burst = marginPart * margin / 2
	share := m.members.Share()
	if share <= 0 || alone.PerSecond <= 0 {
		return false, unlistedWait // to an allowance a rate of 0 is no limit
	}
	return m.own.Take(m.Clock.Now(), &alone, quota.Spending{Share: share, Units: units, Debt: debtPart * margin * share})
}
