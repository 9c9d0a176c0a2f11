package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// prompt returns a request of the service s whose prompt has the given shared parts.
func prompt(n int, parts ...ids.PromptPart) Request {
	return Request{Digest: digest(n), Account: "acme", Route: "r", Service: "s", Parts: parts}
}

// endPart has a target end in a run of a request that was sent when start was known.
func endPart(r *Register, now clock.Millis, n int, q Request, start Start) {
	for i, part := range q.parts() {
		record := newPartRecord(q.Service, part)
		record.Ends = []TargetEnd{{Incarnation: incarnation(n), Rank: start.rank(i)}}
		r.Join(now, &record)
	}
}

// isHeld reports whether a part of a request is quarantined.
func isHeld(r *Register, q Request) bool { return len(r.HeldParts(3, q)) > 0 }

// TestPartIsHeldAfterEndsInARowOnly guards against innocent parts that are held, and fatal ones that are not.
func TestPartIsHeldAfterEndsInARowOnly(t *testing.T) {
	cases := []struct {
		name string
		play func(r *Register, q Request)
		held bool
	}{
		{"two ends in a row", func(r *Register, q Request) {
			for n := range 2 {
				endPart(r, 1, n, q, r.Start(q))
			}
		}, false},
		{"three ends in a row", func(r *Register, q Request) {
			for n := range 3 {
				endPart(r, 1, n, q, r.Start(q))
			}
		}, true},
		{"many ends of runs that were sent before", func(r *Register, q Request) {
			for round := range 2 {
				start := r.Start(q)
				for n := range 20 {
					endPart(r, 1, 100*round+n, q, start)
				}
			}
		}, false},
		{"the same incarnation again", func(r *Register, q Request) {
			start := r.Start(q)
			for range 9 {
				endPart(r, 1, 1, q, start)
			}
		}, false},
		{"excused between", func(r *Register, q Request) {
			for n := range 9 {
				endPart(r, 1, n, q, r.Start(q))
				if n%2 == 1 {
					r.Survived(2, q, r.Start(q))
				}
			}
		}, false},
		{"excused by a run that was sent before the last two ends", func(r *Register, q Request) {
			endPart(r, 1, 1, q, r.Start(q))
			early := r.Start(q)
			for n := range 2 {
				endPart(r, 1, 2+n, q, r.Start(q))
			}
			r.Survived(2, q, early)
		}, false},
		{"excused by that run, and another end in a row", func(r *Register, q Request) {
			endPart(r, 1, 1, q, r.Start(q))
			early := r.Start(q)
			for n := range 3 {
				endPart(r, 1, 2+n, q, r.Start(q))
			}
			r.Survived(2, q, early)
		}, true},
		{"a run that was sent before all ends", func(r *Register, q Request) {
			early := r.Start(q)
			for n := range 3 {
				endPart(r, 1, n, q, r.Start(q))
			}
			r.Survived(2, q, early)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegister()
			q := prompt(1, 7)
			c.play(r, q)
			if held := isHeld(r, prompt(2, 5, 7)); held != c.held {
				t.Errorf("held: %t, want %t", held, c.held)
			}
			if isHeld(r, prompt(2, 5)) {
				t.Error("a request without the part is held")
			}
		})
	}
}

// TestPartAtAnotherServiceIsHeldOnFirstEnd guards against a part that ends as many targets at each service.
func TestPartAtAnotherServiceIsHeldOnFirstEnd(t *testing.T) {
	r := NewRegister()
	q, other := prompt(1, 7), prompt(2, 7)
	other.Service = "another"
	for n := range 3 {
		endPart(r, 1, n, q, r.Start(q))
	}
	if isHeld(r, other) {
		t.Error("held at a service where no target has ended")
	}
	endPart(r, 3, 9, other, r.Start(other))
	if !isHeld(r, other) {
		t.Error("not held at the second service after an end there")
	}
}

// TestEndsUnderFatalPartCountAgainstNoRequest guards against bystanders that are taken for guilty.
func TestEndsUnderFatalPartCountAgainstNoRequest(t *testing.T) {
	r := NewRegister()
	r.StoreRead(0)
	q := prompt(1, 7)
	for n := range 3 {
		endPart(r, 1, n, q, r.Start(q))
		// The repeats of six streams at the target that ends, each sent when an earlier end was known.
		for m := range 6 {
			r.Join(1, &Record{Digest: digest(10 + m), Account: "acme", Route: "r", Ends: []TargetEnd{{Incarnation: incarnation(n), Again: n > 0}}})
		}
	}
	for m := range 6 {
		if v := r.Verdict(2, digest(10+m)); v != Free {
			t.Errorf("bystander %d: %v", m, v)
		}
	}
	if got := len(r.HeldIncarnations()); got != 3 {
		t.Errorf("%d ended incarnations are left out of account for versions, want 3", got)
	}
	if suspected, _ := r.AccountSuspicion(2, prompt(99)); suspected {
		t.Error("the account is suspected")
	}
	r.Completed(3, IdentifyPart("s", 7)) // an operator releases the part
	if v := r.Verdict(4, digest(10)); v != Held {
		t.Errorf("verdict %v once the part does not explain the ends any more, want Held", v)
	}
}

// TestInventedPartsDoNotPushOutAFatalOne guards against a caller who makes the register forget a part.
func TestInventedPartsDoNotPushOutAFatalOne(t *testing.T) {
	r := NewRegister()
	q := prompt(1, 7)
	for n := range 2 {
		endPart(r, 1, n, q, r.Start(q))
	}
	for n := range maxPartRecords + 500 {
		invented := prompt(2, ids.PromptPart(1000+n))
		endPart(r, 2, 100+n, invented, r.Start(invented))
	}
	if r.parts.records > maxPartRecords {
		t.Errorf("%d records", r.parts.records)
	}
	endPart(r, 3, 5, q, r.Start(q))
	if !isHeld(r, q) {
		t.Error("the part was forgotten")
	}
}

// TestAllEntriesHoldAFatalPart guards against entries that know only the ends that they have seen.
func TestAllEntriesHoldAFatalPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardCluster(t, 3)
		q := prompt(1, 7)
		for n, g := range b.guards {
			g.RecordTargetEnd(Run{Request: prompt(10+n, 5, 7), Incarnation: incarnation(n), Start: g.Start(prompt(10+n, 5, 7))})
			time.Sleep(20 * time.Millisecond)
			b.guards[0].Survived(prompt(20, 5), b.guards[0].Start(prompt(20, 5)))
			time.Sleep(20 * time.Millisecond)
		}
		for n, g := range b.guards {
			if g.Allows(q, nil) {
				t.Errorf("entry %d allows the fatal part", n)
			}
			if !g.Allows(prompt(2, 5), nil) {
				t.Errorf("entry %d holds the innocent part", n)
			}
		}
		time.Sleep(2 * time.Second)
		b.store.mu.Lock()
		defer b.store.mu.Unlock()
		if written := b.store.writes; !slices.ContainsFunc(written, func(w Write) bool { return w.Part == 7 && w.Service == "s" && w.level() == 3 }) {
			t.Errorf("the part is not in the store: %+v", written)
		}
	})
}

// TestEntryThatLacksEndsIsTold guards against an entry that has missed all reports, and ends three targets more.
func TestEntryThatLacksEndsIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardCluster(t, 3)
		q := prompt(1, 7)
		for n := range 3 {
			endPart(b.guards[0].register, 1, n, q, b.guards[0].register.Start(q)) // not reported
		}
		late := b.guards[2]
		late.RecordTargetEnd(Run{Request: q, Incarnation: incarnation(9), Start: late.Start(q)})
		time.Sleep(time.Second)
		if late.Allows(q, nil) {
			t.Error("an entry that has reported an end does not know of the others")
		}
	})
}

// TestWronglyHeldPartIsFreeAgainWithinSeconds guards against an innocent part that stops a service for long.
func TestWronglyHeldPartIsFreeAgainWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardCluster(t, 3)
		q := prompt(1, 7)
		for n := range 3 {
			b.guards[0].RecordTargetEnd(Run{Request: q, Incarnation: incarnation(n), Start: b.guards[0].Start(q)})
		}
		time.Sleep(firstRetrialDelay.Duration() + time.Second)
		ctx := t.Context()
		permit, refused := b.guards[0].Enter(ctx, q)
		if permit == nil || refused != nil {
			t.Fatalf("no retrial: %v, %v", permit, refused)
		}
		if _, second := b.guards[2].Enter(ctx, prompt(2, 7)); second == nil {
			t.Error("another request got a retrial too")
		}
		b.guards[0].Survived(q, b.guards[0].Start(q))
		permit.Release(true)
		time.Sleep(time.Second)
		for n, g := range b.guards {
			if !g.Allows(prompt(3, 7), nil) {
				t.Errorf("entry %d still holds the part", n)
			}
		}
	})
}

// TestReportsOfPartsArriveAsSent guards against a part's record that is changed on its way.
func TestReportsOfPartsArriveAsSent(t *testing.T) {
	record := newPartRecord("s", 7)
	record.Ends = []TargetEnd{{Incarnation: incarnation(1), Rank: 2}, {Incarnation: incarnation(2)}}
	record.Cleared, record.Retrials = 1, 1
	report := newPartReport(&record)
	if got := report.record(); fmt.Sprint(got) != fmt.Sprint(record) {
		t.Errorf("got %+v, want %+v", got, record)
	}
}

// TestFatalRequestsLeaveTheRetrialOfAnInnocentPartToSoundOnes guards against a system prompt that only fatal requests had yet.
func TestFatalRequestsLeaveTheRetrialOfAnInnocentPartToSoundOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardCluster(t, 3)
		g, fatal, sound := b.guards[0], prompt(1, 5, 7), prompt(2, 5, 6)
		for n := range 3 {
			g.RecordTargetEnd(Run{Request: fatal, Incarnation: incarnation(n), Start: g.Start(fatal)})
		}
		time.Sleep(firstRetrialDelay.Duration() + time.Second)
		if _, refused := g.Enter(t.Context(), fatal); refused == nil {
			t.Error("a request with the fatal part got the retrial")
		}
		permit, _ := g.Enter(t.Context(), sound)
		if permit == nil || !g.Allows(sound, permit) {
			t.Fatal("a sound request got no retrial")
		}
		g.Survived(sound, g.Start(sound))
		permit.Release(true)
		if g.Allows(prompt(3, 5, 7), nil) || !g.Allows(prompt(4, 5, 6), nil) {
			t.Error("the fatal part is free, or the other one still held")
		}
	})
}

// TestRetrialOfSeveralPartsComesLater guards against parts that always come together and are held for good.
func TestRetrialOfSeveralPartsComesLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newGuardCluster(t, 3)
		g, q := b.guards[0], prompt(1, 5, 7)
		for n := range 3 {
			g.RecordTargetEnd(Run{Request: q, Incarnation: incarnation(n), Start: g.Start(q)})
		}
		time.Sleep((firstRetrialDelay + severalHeldDelay).Duration() + time.Second)
		permit, _ := g.Enter(t.Context(), q)
		if permit == nil || !g.Allows(q, permit) {
			t.Fatal("no retrial")
		}
		permit.Release(false) // it was not sent
		if permit, _ = g.Enter(t.Context(), q); permit == nil {
			t.Fatal("the retrial that was not used is lost")
		}
		g.Survived(q, g.Start(q))
		permit.Release(true)
		if !g.Allows(prompt(2, 5, 7), nil) {
			t.Error("the parts are still held")
		}
	})
}

// BenchmarkRepeatedReportOfHeldPart measures a report that says nothing new, of which each entry gets many.
func BenchmarkRepeatedReportOfHeldPart(b *testing.B) {
	r := NewRegister()
	q := prompt(1, 7)
	for n := range 3 {
		endPart(r, 1, n, q, r.Start(q))
	}
	for n := range maxRecords {
		r.Join(1, &Record{Digest: digest(n), Account: ids.Account(fmt.Sprint(n)), Route: "r", Ends: []TargetEnd{{Incarnation: incarnation(n % 3)}}})
	}
	report := newPartRecord("s", 7)
	report.Ends = []TargetEnd{{Incarnation: incarnation(1), Rank: 1}}
	for b.Loop() {
		r.Join(2, &report)
	}
}
