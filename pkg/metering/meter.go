// Package metering keeps the usage of client accounts within their limits, summed over all entries. Each account
// has an owner among the entries, which keeps its one bucket; an entry sends it a claim before a request runs. While
// no owner replies, an entry spends a small share of its own, which is taken from the margin between the allowance
// and the limit.
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

// Bounds set how far the sum over all entries may exceed an account's allowance in any window.
type Bounds struct {
	// Over is a fraction of what the allowance permits in a Window, burst included; Slack is in units and added to it.
	Over   float64
	Slack  float64
	Window clock.Millis
}

// minWindow is the shortest window in use. Settings may name none, and dividing by a window of 0 would make the
// rates infinite, so that accounts had no limit.
const minWindow = clock.Second

// withMinWindow returns the bounds with a window of at least minWindow.
func (b Bounds) withMinWindow() Bounds {
	b.Window = max(b.Window, minWindow)
	return b
}

const (
	// claimResendInterval is after what time a claim without a reply is sent again, claimTimeout how long to wait for
	// the reply in all. The owner is one network hop away.
	claimResendInterval = 12 * clock.Millisecond
	claimTimeout        = 36 * clock.Millisecond
	// claimTimeoutAtStart replaces claimTimeout at an entry that has just started: the owner may have started with it
	// and not know the accounts yet. The wait costs callers less than a refusal and is acceptable to them: an eighth of
	// a latency objective of one second.
	claimTimeoutAtStart = 120 * clock.Millisecond
	// localMarginFraction is the fraction of the margin that entries may spend without a reply from the owner.
	localMarginFraction = 0.2
	// ownerMarginFraction is the fraction of the margin that owners give out beyond the allowance in any window, so
	// that requests under way never reduce what an account may use.
	ownerMarginFraction = 0.1
	// burstMarginFraction is the fraction of the margin up to which an owner grants an account's burst again in each
	// window, instead of once and then only after the account has used less for a while. The rest is for requests
	// under way, and for entries that have just become owners.
	burstMarginFraction = 0.4
	// maxInitialFill and initialFillMarginFraction set how full the bucket of a new owner is: the one is the maximum,
	// the other a fraction of the margin. A new owner learns from the entries what they have served recently; the
	// initial fill matters only if all of them have lost it, and then nothing was served for as long as a start takes,
	// while callers kept asking. The fraction stays below 0.28, at which owners that change each second give out
	// 0.03% more than is left for it.
	maxInitialFill            = 0.5
	initialFillMarginFraction = 0.25
	// unlistedRetryAfter is when callers should come back to an entry that has no share of the allowance yet: it reads
	// the list of entries within some milliseconds of the store's answering.
	unlistedRetryAfter = 300 * clock.Millisecond
	// debtMarginFraction is the fraction of the margin that requests at all entries together may overdraw, where each
	// entry holds a small fraction of the allowance (see maxDebt).
	debtMarginFraction = 0.1
	// majority is the fraction of the entries beyond which only one owner of an account can have their agreement.
	majority = 0.5
	// unresponsiveFor is how long an entry sends no claims to an owner that did not reply.
	unresponsiveFor = 150 * clock.Millisecond
)

// claim asks the owner of an account whether units may run.
type claim struct {
	_ struct{} `cbor:",toarray"`
	// Number is the sender's number for the claim; the reply repeats it.
	Number  uint64
	Account ids.Account
	Units   float64
	// Reserve is the fraction of the account's bucket that is left to other requests.
	Reserve float64
	// Used is what the account has used at the sender in the last window, in units.
	Used float64
	// Incarnation distinguishes the sender's process from earlier ones at its address.
	Incarnation uint64
	// Incarnations holds what the owner's present and former processes have reported to the sender.
	Incarnations []incarnationReport
}

// incarnationReport is what an account had used at one incarnation of an entry, in the window before the report.
type incarnationReport struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Used        float64 // units
	// Age is the time since the report.
	Age clock.Millis
}

// claimReply is the owner's reply to a claim.
type claimReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// Taken is set if the units may run and were counted. If not, Wait is after what time to claim again.
	Taken bool
	Wait  clock.Millis
	// Used is what the account has used in the last window through the owner's own requests, in units, in case the
	// receiver is the next owner.
	Used float64
	// Incarnation distinguishes the owner's process from earlier ones at its address.
	Incarnation uint64
	// Unknown says that the owner has no limit for the account: its configuration is older or newer than the
	// sender's. Nothing was counted.
	Unknown bool
}

// unitReturn gives back units that were taken and did not run.
type unitReturn struct {
	_       struct{} `cbor:",toarray"`
	Account ids.Account
	Units   float64
}

// partition describes the last time that some entries may have had another owner for shards that this entry owned. It
// is zero once that is longer ago than a window.
type partition struct {
	lastSeen clock.Millis // when the agreement was last below 1
	fraction float64      // of the entries that may have had another owner, the largest seen
	duration clock.Millis // since all entries last agreed, at most a window
}

// Meter counts the usage of client accounts at one entry. It is safe for concurrent use.
type Meter struct {
	common.Common
	bounds         Bounds // guarded by mu
	view           *view.View
	members        *membership.Members
	link           *packets.Link
	ownerAllowance *quota.Allowance // of the accounts that this entry owns
	localAllowance *quota.Allowance // this entry's share of the margin, spent while no owner replies
	usage          *quota.Ledger    // what accounts have used at this entry, whichever entry was the owner
	reports        reports          // usage as the entries last reported it
	incarnation    uint64           // distinguishes this process from earlier ones at its address

	mu sync.Mutex
	// lastFullAgreement is when all entries were last known to agree on the owner, or another owner last replied here.
	lastFullAgreement clock.Millis
	partition         partition
	lastNumber        uint64                          // number of the last claim that was sent
	pending           map[uint64]chan claimReply      // by number of the claim that waits for the reply
	unresponsiveUntil map[netip.AddrPort]clock.Millis // when claims may be sent to an owner again
	sentReplies       map[uint64]claimReply           // by claim number; only the link's goroutine uses it, without lock
	replyOrder        []uint64                        // the numbers in sentReplies, oldest first; used like it
}

// New returns a meter without usage. A window of the bounds that is shorter than minWindow is lengthened to it.
func New(c common.Common, bounds Bounds, v *view.View, members *membership.Members, link *packets.Link) *Meter {
	m := &Meter{
		Common: c, bounds: bounds.withMinWindow(), view: v, members: members, link: link,
		localAllowance: quota.NewAllowance(),
		usage:          quota.NewLedger(), reports: reports{byAccount: make(map[ids.Account]map[reporter]report)},
		incarnation: c.Random.Fork().Uint64(), lastNumber: c.Random.Fork().Uint64(),
		pending: make(map[uint64]chan claimReply), unresponsiveUntil: make(map[netip.AddrPort]clock.Millis), sentReplies: make(map[uint64]claimReply),
		lastFullAgreement: c.Clock.Now(),
	}
	m.ownerAllowance = quota.NewFilledAllowance(m.initialFill)
	link.Handle(packets.KindQuotaTake, packets.Receive(link, m.handleClaim))
	link.Handle(packets.KindQuotaReply, packets.Receive(link, m.handleReply))
	link.Handle(packets.KindQuotaReturn, packets.Receive(link, m.handleReturn))
	return m
}

// SetBounds changes the bounds.
func (m *Meter) SetBounds(bounds Bounds) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bounds = bounds.withMinWindow()
}

// window returns the window of the bounds in force.
func (m *Meter) window() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bounds.Window
}

// margin returns what the bounds allow beyond an account's allowance in a window, in units, and the window in
// seconds.
func (m *Meter) margin(account *routing.Account) (units, window float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window = float64(m.bounds.Window) / float64(clock.Second)
	return m.bounds.Over*(account.PerSecond*window+account.Burst) + m.bounds.Slack, window
}

// Take counts units against an account's allowance and reports whether they may run; if not, it also returns after what
// time to try again. It waits for the owner's reply, at most for the claim's timeout or until ctx ends. reserve is the
// fraction of the account's bucket that is left to others. An account with a PerSecond of 0 has no limit.
func (m *Meter) Take(ctx context.Context, account *routing.Account, units, reserve float64) (bool, clock.Millis) {
	if account.PerSecond <= 0 {
		return true, 0
	}
	taken, wait := m.take(ctx, account, units, reserve)
	if taken {
		m.usage.Add(m.Clock.Now(), account.Name, m.window(), units)
	}
	return taken, wait
}

// take asks the owner, or counts here if this entry is the owner or none replies. It does not record the usage.
func (m *Meter) take(ctx context.Context, account *routing.Account, units, reserve float64) (bool, clock.Millis) {
	if m.Ablation.Off(ablation.QuotaOwners) {
		return m.takeLocally(account, units)
	}
	owner, self := m.members.Owner(shardOf(account.Name))
	used := m.usage.UsedInWindow(m.Clock.Now(), account.Name, m.window())
	if self {
		return m.takeAsOwner(netip.AddrPort{}, account, claim{Units: units, Reserve: reserve, Used: used, Incarnation: m.incarnation})
	}
	incarnations := m.reports.incarnationsAt(m.Clock.Now(), account.Name, owner, m.window())
	request := claim{Account: account.Name, Units: units, Reserve: reserve, Used: used, Incarnation: m.incarnation, Incarnations: incarnations}
	if answer, answered := m.sendClaim(ctx, owner, request); answered {
		m.recordOwnerReply()
		m.reports.set(account.Name, reporter{owner, answer.Incarnation}, report{used: answer.Used, at: m.Clock.Now()})
		if answer.Unknown {
			m.Metrics.Links.Add("quota_homes_unaware", 1)
			return m.takeLocally(account, units)
		}
		return answer.Taken, answer.Wait
	}
	m.Metrics.Links.Add("quota_homes_silent", 1)
	return m.takeLocally(account, units)
}

// Return gives back units that were taken at the given time and did not run.
func (m *Meter) Return(account *routing.Account, units float64, taken clock.Millis) {
	if account.PerSecond <= 0 {
		return // usage of unlimited accounts is not recorded
	}
	m.usage.Refund(m.Clock.Now(), taken, account.Name, m.window(), units)
	owner, self := m.members.Owner(shardOf(account.Name))
	if self {
		m.ownerAllowance.Return(account.Name, units)
		return
	}
	m.link.Send(owner, packets.KindQuotaReturn, unitReturn{Account: account.Name, Units: units})
}

// Forget drops the usage of accounts that are no longer known.
func (m *Meter) Forget(known func(ids.Account) bool) {
	m.ownerAllowance.Forget(known)
	m.localAllowance.Forget(known)
	m.usage.Forget(known)
	m.reports.forget(known)
}

// shardOf returns the shard whose owner keeps an account's bucket.
func shardOf(account ids.Account) string {
	return "account/" + string(account)
}

// takeLocally counts units against this entry's share of the part of the margin that needs no reply from an owner.
func (m *Meter) takeLocally(account *routing.Account, units float64) (bool, clock.Millis) {
	margin, window := m.margin(account)
	// Half of the margin is a rate over the window, half may be taken at once.
	local := *account
	local.PerSecond = localMarginFraction * margin / 2 / window
	local.Burst = localMarginFraction * margin / 2
	share := m.members.Share()
	if share <= 0 || local.PerSecond <= 0 {
		return false, unlistedRetryAfter // an Allowance takes a rate of 0 for no limit
	}
	return m.localAllowance.Take(m.Clock.Now(), &local, quota.Spending{Share: share, Units: units, Debt: debtMarginFraction * margin * share})
}
