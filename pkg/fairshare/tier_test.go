package fairshare_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"quaydock/pkg/clock"
	"quaydock/pkg/fairshare"
	"quaydock/pkg/ids"
)

// player holds and asks for places of a tier in steps of 10 ms.
type player struct {
	tier *fairshare.Tier
	now  clock.Millis
}

func newPlayer() *player {
	return &player{tier: fairshare.NewTier(1000), now: 1000}
}

// account is one account of a step: how many places it holds for the whole step, and how many it is refused.
type account struct {
	name          string
	held, refused int
	weight        float64
}

const step = 10 * clock.Millisecond

// play makes accounts ask for places, hold those that they get for the given number of steps, and classifies them.
func (p *player) play(steps int, accounts ...account) {
	for range steps {
		for _, a := range accounts {
			share := p.tier.Account(p.now, ids.Account(a.name), a.weight)
			for range a.held + a.refused {
				p.tier.Ask(p.now, share)
			}
			for range a.held {
				p.tier.Start(p.now, share)
			}
		}
		p.now += step
		for _, a := range accounts {
			for range a.held {
				p.tier.End(p.now, p.tier.Find(ids.Account(a.name)))
			}
		}
	}
	p.tier.Classify(p.now)
}

// TestClasses guards against accounts that are told over a share that no other account asks for, or not told over theirs.
func TestClasses(t *testing.T) {
	tests := []struct {
		name     string
		accounts []account
		want     []fairshare.Class
	}{
		{"one account has all", []account{{"a", 10, 50, 1}}, []fairshare.Class{fairshare.Within}},
		{"nobody is refused", []account{{"a", 9, 0, 1}, {"b", 1, 0, 1}}, []fairshare.Class{fairshare.Within, fairshare.Within}},
		{"a flood beside a light one that gets all", []account{{"a", 9, 20, 1}, {"b", 1, 0, 1}}, []fairshare.Class{fairshare.Below, fairshare.Within}},
		{"a light one is refused, too", []account{{"a", 9, 20, 1}, {"b", 1, 1, 1}}, []fairshare.Class{fairshare.Above, fairshare.Within}},
		{"a light one that asks for more than its share", []account{{"a", 9, 20, 1}, {"b", 1, 20, 1}}, []fairshare.Class{fairshare.Above, fairshare.Below}},
		{"by weight", []account{{"a", 6, 20, 3}, {"b", 4, 20, 1}}, []fairshare.Class{fairshare.Below, fairshare.Above}},
		{"unweighted accounts have weight 1", []account{{"a", 6, 20, 0}, {"b", 4, 20, 0}}, []fairshare.Class{fairshare.Above, fairshare.Below}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPlayer()
			p.play(200, test.accounts...)
			for i, want := range test.want {
				if got := p.tier.Find(ids.Account(test.accounts[i].name)); got.Class() != want {
					t.Errorf("%s is %v its share, want %v: %+v", test.accounts[i].name, got.Class(), want, got.Standing())
				}
			}
		})
	}
}

// TestSharesAreRightWithinASecond guards against a new tier, or an account that comes back, whose share is right only
// much later.
func TestSharesAreRightWithinASecond(t *testing.T) {
	p := newPlayer()
	p.play(10, account{"a", 9, 20, 1}, account{"b", 1, 1, 1}) // 100 ms after the start
	if a, b := p.tier.Find("a").Class(), p.tier.Find("b").Class(); a != fairshare.Above || b != fairshare.Within {
		t.Errorf("100 ms after the start the flood is %v its share, the other %v", a, b)
	}
	p.play(1000, account{"a", 10, 20, 1})
	p.play(100, account{"a", 9, 20, 1}, account{"b", 1, 1, 1})
	if s := p.tier.Find("b").Standing(); math.Abs(s.Use-1) > 0.5 {
		t.Errorf("an account that has held a place for a second has a use of %.2f", s.Use)
	}
}

// TestStartTimeFairQueueing guards against accounts that keep a credit for the time when they asked for nothing.
func TestStartTimeFairQueueing(t *testing.T) {
	tier := fairshare.NewTier(0)
	busy := tier.Account(0, "busy", 1)
	tier.Join(busy)
	for range 10 {
		tier.Charge(busy, 100, 1)
	}
	back := tier.Account(0, "back", 2)
	tier.Join(back)
	if back.Served() != 900 {
		t.Errorf("an account that comes starts at %v, want the start of the last service, 900", back.Served())
	}
	tier.Charge(back, 100, 2)
	if back.Served() != 950 {
		t.Errorf("got %v served, want the units by the weight, 950", back.Served())
	}
	tier.Leave(back)
	if tier.Len() != 2 {
		t.Error("an account that has got more than the others is forgotten as it leaves: it would get a credit")
	}
	for range 10 {
		tier.Charge(busy, 100, 1)
	}
	tier.Leave(busy)
	if tier.Len() != 1 {
		t.Errorf("%d accounts are kept, want only that which has got more than the others", tier.Len())
	}
}

// TestIdleAccountsAreForgotten guards against memory that grows with every account that was ever served.
func TestIdleAccountsAreForgotten(t *testing.T) {
	p := newPlayer()
	for i := range 300 {
		p.play(1, account{fmt.Sprint(i), 1, 1, 1})
	}
	p.now += 20 * clock.Second
	p.tier.Classify(p.now)
	if n := p.tier.Len(); n != 0 {
		t.Errorf("%d idle accounts are kept", n)
	}
}

// TestMaxMin checks, for drawn loads, that shares are work-conserving and max-min fair: an account asks for no more than
// its share or the share of each account per weight is the same; and somebody is always within or below it.
func TestMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlayer()
		var accounts []account
		for i := range rapid.IntRange(1, 12).Draw(t, "accounts") {
			accounts = append(accounts, account{
				name: fmt.Sprint(i), held: rapid.IntRange(0, 10).Draw(t, "held"), refused: rapid.IntRange(0, 20).Draw(t, "refused"),
				weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"),
			})
		}
		p.play(rapid.IntRange(1, 100).Draw(t, "steps"), accounts...)
		checkMaxMin(t, p.tier)
	})
}

// checkMaxMin checks the standings of the accounts of a tier.
func checkMaxMin(t *rapid.T, tier *fairshare.Tier) {
	const slack = 1e-6
	held, given, above := 0.0, 0.0, 0
	standings := tier.Standings()
	for _, s := range standings {
		held += s.Use
		given += s.Demand
		if s.Share > 0 {
			given += min(0, s.Share-s.Demand)
		}
		if s.Class == fairshare.Above {
			above++
		}
		if s.Class == fairshare.Within && s.Share > 0 && s.Demand > s.Share+slack || s.Class == fairshare.Above && s.Use <= s.Share {
			t.Fatalf("wrong class: %+v", s)
		}
	}
	if given < held-slack {
		t.Fatalf("shares of %.3f places are given out, %.3f are held: %+v", given, held, standings)
	}
	if len(standings) > 0 && above == len(standings) {
		t.Fatalf("every account is above its share: %+v", standings)
	}
}

// TestAccountFromBeforeItsTierIsCounted guards against shares that are no numbers, as messages are handled a moment after
// their time was read, and the first of a tier may be the later one.
func TestAccountFromBeforeItsTierIsCounted(t *testing.T) {
	tier := fairshare.NewTier(1000)
	a := tier.Account(999, "a", 1)
	tier.Ask(999, a)
	tier.Start(999, a)
	tier.Start(1000, tier.Account(1000, "b", 1))
	tier.Classify(1000)
	tier.Classify(3000)
	for _, s := range tier.Standings() {
		if math.Abs(s.Use-1) > 0.01 {
			t.Errorf("account %s holds one place and counts as holding %f", s.Account, s.Use)
		}
	}
}
