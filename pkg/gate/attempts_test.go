package gate_test

import (
	"fmt"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/control"
	"quaydock/pkg/gate"
)

// Callers would have seen a request refused at its deadline, or for want of a reachable target, although a target was
// idle. An entry withdrew a request's ticket because another agent had granted it, found that grant unusable, and
// placed the request again, all within a millisecond and in several messages. The agent took the new ticket first and
// the withdrawal after it; it then had no ticket, and the entry waited for a verdict on it.
//
// A withdrawal named a request, not which of its tickets it meant, and messages of a session may overtake one another.
// In 2 of 480 histories of a test bed a request waited 30 s beside an idle target; these tests play each order of
// arrival.

// arrival is a message of an entry that the gate handles.
type arrival struct {
	name string
	take func(*gate.Gate) control.Verdict // handles it at time 0; the verdict is Queued for a withdrawal
}

// placing is the arrival of a request's ticket with the given attempt number.
func placing(session gate.Session, attempt int) arrival {
	return arrival{fmt.Sprintf("ticket %d", attempt), func(g *gate.Gate) control.Verdict {
		again := ticket("moves", 1, "a", 10)
		again.Turn = attempt
		return g.Place(0, session, again)
	}}
}

// withdrawing is the arrival of the withdrawal of all tickets up to an attempt number.
func withdrawing(session gate.Session, attempt int) arrival {
	return arrival{fmt.Sprintf("withdrawal %d", attempt), func(g *gate.Gate) control.Verdict {
		g.WithdrawUpTo(0, session, "moves", attempt)
		return control.Verdict{Kind: control.Queued}
	}}
}

// TestWithdrawalOnlyAffectsItsAttempt serves the newest ticket whatever the order in which an agent handles an entry's
// messages.
func TestWithdrawalOnlyAffectsItsAttempt(t *testing.T) {
	const former, now gate.Session = 1, 2
	cases := []struct {
		name string
		sent []arrival // in the order of sending; the last one places the newest ticket
	}{
		{"withdrawn and placed again", []arrival{placing(now, 1), withdrawing(now, 1), placing(now, 2)}},
		{"placed again on a new session before the loss of the former one is noticed", []arrival{placing(former, 1), placing(now, 2)}},
		{"withdrawn and placed again twice", []arrival{placing(now, 1), withdrawing(now, 1), placing(now, 2), withdrawing(now, 2), placing(now, 3)}},
	}
	for _, c := range cases {
		newest := len(c.sent)/2 + 1 // attempt number of the last message
		for _, order := range permutations(len(c.sent)) {
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
				if !newestIsServed(g, newest) {
					t.Errorf("the newest ticket was not served")
				}
			})
		}
	}
}

// newestIsServed plays an entry that gives back what is granted to tickets that it has withdrawn. It reports whether
// the ticket with the attempt number newest is granted and its grant can be used.
func newestIsServed(g *gate.Gate, newest int) bool {
	for range 10 {
		for _, n := range g.TakeNotices() {
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

// permutations lists all orders of the numbers below n.
func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, shorter := range permutations(n - 1) {
		for at := range n {
			order := append([]int(nil), shorter[:at]...)
			order = append(order, n-1)
			all = append(all, append(order, shorter[at:]...))
		}
	}
	return all
}
