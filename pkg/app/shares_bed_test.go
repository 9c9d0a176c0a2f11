package app

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"quaydock/pkg/ids"
	"quaydock/platform"
	"quaydock/platform/wiretest"
)

const (
	// sharesWork is the run time of an ordinary request, and sharesCapacity how many of them the three targets of a
	// shares bed serve in a second.
	sharesWork     = 60 * time.Millisecond
	sharesTargets  = 3
	sharesCapacity = float64(sharesTargets*crashSlots) / 0.06
	// sharesObjective is the time within which an answer is in time, as in the configuration of the bed.
	sharesObjective = 500 * time.Millisecond
)

// sharesBed is a test bed of complete entries with so many accounts in front of three targets.
type sharesBed struct {
	*crashBed
	mu     sync.Mutex
	called map[int]int // requests by account
	inTime map[int]int // of these, those answered in time
}

// newSharesBed starts a bed. The path of a request says how many milliseconds it runs.
func newSharesBed(t *testing.T, seed uint64, entries, accounts int) *sharesBed {
	b := &sharesBed{crashBed: newCrashBedOf(t, seed, entries, sharesTargets), called: make(map[int]int), inTime: make(map[int]int)}
	b.intercept = func(e *crashEngine, w http.ResponseWriter, r *http.Request) bool {
		ms, err := strconv.Atoi(r.URL.Path[len("/safe/"):])
		if err != nil {
			return false
		}
		time.Sleep(time.Duration(ms) * time.Millisecond)
		wiretest.MarkAnsweredBy(w.Header(), e.id)
		return true
	}
	c := b.configuration(2)
	c.Accounts = nil
	for i := range accounts {
		c.Accounts = append(c.Accounts, wiretest.Account{Name: ids.Account(fmt.Sprint("account-", i)), Keys: []string{accountKey(i)}})
	}
	b.store.Put(platform.TableOperators, platform.KeyConfiguration, c.Row())
	time.Sleep(2 * time.Second)
	return b
}

func accountKey(account int) string { return fmt.Sprint("key-", account) }

// load sends requests of one account to running entries until the given time, at a multiple of the capacity if they
// run for work.
func (b *sharesBed) load(account int, times float64, work time.Duration, until time.Duration) {
	perSecond := times * sharesCapacity * float64(sharesWork) / float64(work)
	path := fmt.Sprint("/safe/", work.Milliseconds())
	b.callAtRate(perSecond, b.now(), until, func() {
		at := b.now()
		status, _ := b.call(b.liveEntry(), path, accountKey(account), b.uniqueBody())
		b.mu.Lock()
		defer b.mu.Unlock()
		b.called[account]++
		if status == http.StatusOK && b.now()-at <= sharesObjective {
			b.inTime[account]++
		}
	})
}

// liveEntry draws an entry that runs.
func (b *sharesBed) liveEntry() int {
	for {
		i := b.draw(len(b.entries))
		b.crashBed.mu.Lock()
		live := b.entries[i] != nil
		b.crashBed.mu.Unlock()
		if live {
			return i
		}
	}
}

// owner returns the entry that plans for the targets.
func (b *sharesBed) owner() int {
	b.crashBed.mu.Lock()
	e := b.entries[0]
	b.crashBed.mu.Unlock()
	address, _ := e.process.members.HeavyOwner("targets/s")
	for i := range b.entries {
		if b.address(i) == address {
			return i
		}
	}
	return 0
}

// play sends the requests of all accounts, of which the last so many flood, and returns the lowest fraction of the
// others' requests that were answered in time.
func (b *sharesBed) play(accounts, floods int, times float64, work, length time.Duration) float64 {
	until := b.now() + length
	var all sync.WaitGroup
	for i := range accounts {
		if i >= accounts-floods {
			all.Go(func() { b.load(i, times/float64(floods), work, until) })
		} else {
			all.Go(func() { b.load(i, 0.4/float64(accounts), sharesWork, until) })
		}
	}
	all.Wait()
	lowest, inTime, called := 1.0, 0, 0
	for i := range accounts {
		inTime += b.inTime[i]
		called += b.called[i]
		if i < accounts-floods {
			lowest = min(lowest, float64(b.inTime[i])/float64(max(1, b.called[i])))
		}
	}
	b.t.Logf("%.3f of the light account's requests in time, %d of %d of all", lowest, inTime, called)
	return lowest
}
