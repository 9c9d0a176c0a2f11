package gate_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/gate"
)

// What callers would have seen: a request that was refused at its deadline, or as one for which no target can be reached, although a
// target was idle. The order of events: an entry took a request's ticket back, as another agent had granted, found that grant of no
// use, and placed the request again, all within a millisecond and in several messages; the agent took the new ticket first and the
// withdrawal after it. It had no ticket any more, and the entry waited for a word on it.
//
// The cause: a withdrawal named a request, not which of its tickets it meant, and messages of a session may pass one
// another. The evidence: in 2 of 480 histories of a bed a request waited 30 s beside an idle target; here each order of arrival.

// arrival is a message of an entry as the gate takes it.
type arrival struct {
	name string
	take func(*gate.Gate) control.Verdict
}

func placing(session gate.Session, turn int) arrival {
	return arrival{fmt.Sprintf("ticket %d", turn), func(g *gate.Gate) control.Verdict {
		again := ticket("moves", 1, "a", 10)
		again.Turn = turn
		return g.Place(0, session, again)
	}}
}

func withdrawing(session gate.Session, turn int) arrival {
	return arrival{fmt.Sprintf("withdrawal %d", turn), func(g *gate.Gate) control.Verdict {
		g.WithdrawUpTo(0, session, "moves", turn)
		return control.Verdict{Kind: control.Queued}
	}}
}

// TestWithdrawalsMeanTheirTicket: whatever the order in which an agent takes the messages of an entry, the newest ticket is served.
func TestWithdrawalsMeanTheirTicket(t *testing.T) {
	const former, now gate.Session = 1, 2
	cases := []struct {
		name string
		sent []arrival
	}{
		{"withdrawn and placed again", []arrival{placing(now, 1), withdrawing(now, 1), placing(now, 2)}},
		{"placed again on a new session, the loss of the former not noticed yet", []arrival{placing(former, 1), placing(now, 2)}},
		{"twice", []arrival{placing(now, 1), withdrawing(now, 1), placing(now, 2), withdrawing(now, 2), placing(now, 3)}},
	}
	for _, c := range cases {
		newest := len(c.sent)/2 + 1
		for _, order := range orders(len(c.sent)) {
			t.Run(fmt.Sprint(c.name, order), func(t *testing.T) {
				g := newGate(1)
				busy := g.Place(0, now, ticket("busy", 1, "b", 10))
				g.Use(0, busy.Grant, "busy")
				for _, i := range order {
					if v := c.sent[i].take(g); v.Kind == control.Declined && v.Turn == newest {
						t.Errorf("%s was declined: %v", c.sent[i].name, v.Reason)
					}
				}
				g.Finish(1, busy.Grant, true)
				if !servedInTheEnd(g, newest) {
					t.Errorf("the newest ticket was not served")
				}
			})
		}
	}
}

// servedInTheEnd plays an entry that gives back what is granted to tickets that it has withdrawn.
func servedInTheEnd(g *gate.Gate, newest int) bool {
	for range 10 {
		for _, n := range g.Notices() {
			switch {
			case n.Verdict.Kind != control.Granted:
			case n.Verdict.Turn == newest:
				return g.Use(clock.Second, n.Verdict.Grant, "moves")
			default:
				g.WithdrawUpTo(clock.Second, n.Session, "moves", n.Verdict.Turn)
			}
		}
		g.Tick(clock.Second)
	}
	return false
}

// orders lists all orders of n things.
func orders(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, shorter := range orders(n - 1) {
		for at := range n {
			order := append([]int(nil), shorter[:at]...)
			order = append(order, n-1)
			all = append(all, append(order, shorter[at:]...))
		}
	}
	return all
}
