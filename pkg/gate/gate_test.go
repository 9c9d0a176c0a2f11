package gate_test

import (
	"expvar"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/gate"
	"quaydock/pkg/ids"
	"quaydock/pkg/invariant"
)

// TestMain fixes the seed, so that every run gives the same result; the flag
// -rapid.seed sets another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const service ids.Service = "chart-small"

// newGate returns a gate for a target that serves service, whose checker stops the process on a violated invariant. Its
// queue holds 100 tokens of work while no drain rate has been measured.
func newGate(slots int) *gate.Gate {
	log := logrus.New()
	log.SetOutput(io.Discard)
	check := invariant.NewChecker(logrus.NewEntry(log), new(expvar.Map).Init(), true)
	g := gate.New(7, gate.Limits{
		QueueTime: 10 * clock.Second, QueueMin: 100, GrantLifetime: 2 * clock.Second,
		FloorHold: 2 * clock.Second, FateRetention: 30 * clock.Second,
	}, check)
	g.SetServices([]ids.Service{service}, slots)
	return g
}

// ticket returns a ticket whose work is decode tokens and whose deadline is a minute away.
func ticket(id string, tier ids.TierRank, account ids.Account, decode ids.Tokens) control.Ticket {
	return control.Ticket{Request: ids.Request(id), Service: service, Tier: tier, Account: account, Decode: decode, Remaining: clock.Minute}
}

// useAllGrants uses and finishes each grant at once, until there are no more. It
// returns the requests in the order of their grants.
func useAllGrants(g *gate.Gate, now clock.Millis) []string {
	var order []string
	for notices := g.TakeNotices(); len(notices) > 0; notices = g.TakeNotices() {
		for _, n := range notices {
			if n.Verdict.Kind != control.Granted {
				continue
			}
			order = append(order, string(n.Verdict.Request))
			g.Use(now, n.Verdict.Grant, n.Verdict.Request)
			g.Finish(now, n.Verdict.Grant, true)
		}
	}
	return order
}

// TestOrder queues tickets while the only slot is in use, and checks in which order they are granted afterwards.
func TestOrder(t *testing.T) {
	scenarios := []struct {
		name    string
		tickets []control.Ticket // in the order of arrival
		want    []string         // requests in the order of their grants
	}{
		{
			name:    "higher tiers first",
			tickets: []control.Ticket{ticket("tag", 3, "a", 1), ticket("pilot", 0, "a", 1), ticket("notice", 1, "a", 1)},
			want:    []string{"pilot", "notice", "tag"},
		},
		{
			name: "accounts of one tier share by work",
			tickets: []control.Ticket{
				ticket("a1", 1, "a", 10), ticket("a2", 1, "a", 10), ticket("a3", 1, "a", 10), ticket("b1", 1, "b", 10), ticket("b2", 1, "b", 10),
			},
			want: []string{"a1", "b1", "a2", "b2", "a3"},
		},
		{
			name:    "an account with long requests does not crowd out one with short ones",
			tickets: []control.Ticket{ticket("a1", 1, "a", 40), ticket("a2", 1, "a", 40), ticket("b1", 1, "b", 1), ticket("b2", 1, "b", 1)},
			want:    []string{"a1", "b1", "b2", "a2"},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g := newGate(1)
			first := g.Place(0, 1, ticket("running", 0, "x", 1))
			g.Use(0, first.Grant, "running")
			for _, tk := range s.tickets {
				if v := g.Place(0, 1, tk); v.Kind != control.Queued {
					t.Fatalf("ticket %s: %v", tk.Request, v)
				}
			}
			g.Finish(0, first.Grant, true)
			if got := useAllGrants(g, 0); fmt.Sprint(got) != fmt.Sprint(s.want) {
				t.Errorf("order %v, want %v", got, s.want)
			}
		})
	}
}

// A full queue evicts the lowest tier first; once a tier is refused, lower
// ones are refused too for a while. The queue holds 100 tokens of work, and the floor hold is 2 s.
func TestEvictionAndFloor(t *testing.T) {
	g := newGate(1)
	running := g.Place(0, 1, ticket("running", 0, "a", 10))
	g.Use(0, running.Grant, "running")
	g.Place(0, 1, ticket("tag", 3, "a", 90))
	if v := g.Place(0, 1, ticket("pilot", 0, "a", 90)); v.Kind != control.Queued {
		t.Fatalf("pilot: %v", v)
	}
	notices := g.TakeNotices()
	if len(notices) != 1 || notices[0].Verdict.Request != "tag" || notices[0].Verdict.Reason != control.Full {
		t.Fatalf("notices %v, want tag declined as full", notices)
	}
	if v := g.Place(0, 1, ticket("notice", 1, "a", 90)); v.Reason != control.Full {
		t.Fatalf("notice: %v", v)
	}
	if v := g.Place(1000, 1, ticket("small tag", 3, "a", 1)); v.Reason != control.Full {
		t.Errorf("tag was admitted during the floor hold after notice was refused: %v", v)
	}
	if v := g.Place(2001, 1, ticket("small tag", 3, "a", 1)); v.Kind != control.Queued {
		t.Errorf("tag was refused after the floor hold: %v", v)
	}
}

// While lower tiers run, a higher tier is not refused even beyond the queue limit.
func TestHigherTierIsNotRefusedWhileLowerRuns(t *testing.T) {
	g := newGate(1)
	running := g.Place(0, 1, ticket("tag", 3, "a", 10))
	g.Use(0, running.Grant, "tag")
	for i := range 5 {
		if v := g.Place(0, 1, ticket(fmt.Sprint("pilot", i), 0, "a", 90)); v.Kind != control.Queued {
			t.Fatalf("pilot %d: %v while a tag runs", i, v)
		}
	}
}

// Random histories of one gate: no request is dispatched twice, and what the gate reports of a grant agrees with what
// became of it. The gate checks its own invariants too: the order of tiers, and that no request is dispatched twice.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &history{t: r, gate: newGate(rapid.IntRange(1, 3).Draw(r, "slots")), used: make(map[ids.Request]bool), neverDispatched: make(map[ids.Grant]bool)}
		for range 60 {
			h.step()
		}
	})
}

// history is what a random run knows of its gate.
type history struct {
	t               *rapid.T
	gate            *gate.Gate
	now             clock.Millis
	next            int               // number of the newest request
	grants          []control.Verdict // all grants, also used and expired ones
	runs            []control.Verdict // all grants that were used, also of requests that have ended
	used            map[ids.Request]bool
	neverDispatched map[ids.Grant]bool // grants that the gate has reported as never dispatched
}

// step lets up to 700 ms pass and takes one random action.
func (h *history) step() {
	h.now += clock.Millis(rapid.IntRange(0, 700).Draw(h.t, "wait"))
	switch rapid.IntRange(0, 6).Draw(h.t, "step") {
	case 0, 1, 2:
		h.place()
	case 3:
		h.use()
	case 4:
		h.finish()
	case 5:
		h.queryFate()
	case 6:
		h.gate.Tick(h.now)
	}
	for _, n := range h.gate.TakeNotices() {
		h.recordGrant(n.Verdict)
	}
}

// recordGrant records a verdict if it is a grant.
func (h *history) recordGrant(v control.Verdict) {
	if v.Kind == control.Granted {
		h.grants = append(h.grants, v)
	}
}

// place places a ticket of a new request, with random tier, account and work.
func (h *history) place() {
	h.next++
	tier := ids.TierRank(rapid.IntRange(0, 3).Draw(h.t, "tier"))
	account := ids.Account(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(h.t, "account"))
	work := ids.Tokens(rapid.IntRange(1, 80).Draw(h.t, "work"))
	h.recordGrant(h.gate.Place(h.now, 1, ticket(fmt.Sprint(h.next), tier, account, work)))
}

// pick draws a verdict; it returns false if there is none.
func (h *history) pick(list []control.Verdict) (control.Verdict, bool) {
	if len(list) == 0 {
		return control.Verdict{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(h.t, "pick")], true
}

// use tries to use a random grant, which may have been used or closed before, and checks that its request has not been
// dispatched and that the gate has not reported the grant as never dispatched.
func (h *history) use() {
	v, some := h.pick(h.grants)
	if !some || !h.gate.Use(h.now, v.Grant, v.Request) {
		return
	}
	if h.used[v.Request] {
		h.t.Fatalf("request %s was dispatched twice", v.Request)
	}
	if h.neverDispatched[v.Grant] {
		h.t.Fatalf("grant %v was used after it was reported as never dispatched", v.Grant)
	}
	h.used[v.Request] = true
	h.runs = append(h.runs, v)
}

// finish ends the run of a random used grant, which may have ended before.
func (h *history) finish() {
	if v, some := h.pick(h.runs); some {
		h.gate.Finish(h.now, v.Grant, true)
	}
}

// queryFate queries the outcome of a random grant, and checks it against what was used. Unknown is always accepted.
func (h *history) queryFate() {
	v, some := h.pick(h.grants)
	if !some {
		return
	}
	switch h.gate.Fate(h.now, v.Grant, v.Request) {
	case control.FateNever:
		if h.used[v.Request] {
			h.t.Fatalf("grant %v was used but is reported as never dispatched", v.Grant)
		}
		h.neverDispatched[v.Grant] = true
	case control.FateDispatched:
		if !h.used[v.Request] {
			h.t.Fatalf("grant %v was not used but is reported as dispatched", v.Grant)
		}
	}
}

// BenchmarkPlaceAndGrant measures the cost of placing and withdrawing a ticket by the number of queued tickets.
func BenchmarkPlaceAndGrant(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			g := newGate(1)
			first := g.Place(0, 1, ticket("running", 3, "x", 1))
			g.Use(0, first.Grant, "running")
			for i := range waiting {
				g.Place(0, 1, ticket(fmt.Sprint("w", i), 1, ids.Account(fmt.Sprint("a", i%16)), 1))
			}
			placed := ticket("placed", 1, "a0", 1)
			b.ReportAllocs()
			for b.Loop() {
				g.Place(0, 1, placed)
				g.Withdraw(0, 1, placed.Request)
			}
		})
	}
}
