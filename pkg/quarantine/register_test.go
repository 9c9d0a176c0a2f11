package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// ExampleIdentify: tries of one request have ids of their own, and one digest.
func ExampleIdentify() {
	first := Identify("acme", "/chat/q?stream=1", []byte("question"))
	again := Identify("acme", "/chat/q?stream=1", []byte("question"))
	other := Identify("acme", "/chat/q?stream=", []byte("1question"))
	fmt.Println(first == again, first == other)
	// Output: true false
}

func life(n int) ids.TargetIncarnation {
	return ids.TargetIncarnation{Target: ids.Target(fmt.Sprint("t", n))}
}

// record is one with ends at the lives of some numbers; those below 0 are of runs that began when
// an earlier end was known.
func record(d Digest, account ids.Account, numbers ...int) *Record {
	r := &Record{Digest: d, Account: account, Route: "r"}
	for _, n := range numbers {
		r.add(TargetEnd{Incarnation: life(max(n, -n)), Again: n < 0})
	}
	return r
}

func digest(n int) Digest { return Identify("", "", fmt.Append(nil, n)) }

func TestVerdicts(t *testing.T) {
	scenarios := []struct {
		name string
		ends []int
		want Verdict
	}{
		{"one end", []int{1}, Suspect},
		{"ends of runs at the same time", []int{1, 2, 3, 4}, Suspect},
		{"one more end in a run that began later", []int{1, -2}, Held},
		{"the same life, as the list tells, in a run that began later", []int{1, -1}, Held},
		{"the same life, seen twice", []int{1, 1}, Suspect},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := NewRegister()
			r.MarkRead(1)
			for _, n := range s.ends {
				r.Join(1, record(digest(1), "acme", n))
			}
			if got := r.Verdict(2, digest(1)); got != s.want {
				t.Errorf("verdict %v, want %v", got, s.want)
			}
		})
	}
}

// TestAnEmptyRegisterIsNoCleanRecord: an entry that has not read the store's records can't know of
// earlier ends.
func TestAnEmptyRegisterIsNoCleanRecord(t *testing.T) {
	r := NewRegister()
	r.Join(1, record(digest(1), "acme", 1))
	if got := r.Verdict(1, digest(1)); got != Held {
		t.Errorf("verdict %v before the records are read, want Held", got)
	}
	r.MarkRead(2)
	if got := r.Verdict(2, digest(1)); got != Suspect {
		t.Errorf("verdict %v once they are read, want Suspect", got)
	}
}

// TestRecordsOfEntriesAreJoined: news come in any order, more than once, and with ends that others
// have excused meanwhile. Of more ends than are kept the verdict is the same, though not each end.
func TestRecordsOfEntriesAreJoined(t *testing.T) {
	excused := record(digest(1), "acme", 3, 4)
	excused.excuse()
	few := []*Record{
		record(digest(1), "acme", 1, 2), record(digest(1), "acme", -2), record(digest(1), "acme", 3), record(digest(1), "acme", 4, 5), excused,
	}
	first := joinedInAnyOrder(t, few)
	if count, again := first.standing(); count != 3 || !again {
		t.Errorf("%d ends stand, again %t", count, again)
	}
	many := append(few, record(digest(1), "acme", 6, 7, 8, 9, 10, 11, 12))
	for shift := range many {
		r := NewRegister()
		r.MarkRead(1)
		for i := range many {
			r.Join(1, many[(i+shift)%len(many)])
		}
		got, _ := r.Get(digest(1))
		if r.Verdict(1, digest(1)) != Held || len(got.Ends) > keptEnds {
			t.Errorf("verdict %v with %d ends", r.Verdict(1, digest(1)), len(got.Ends))
		}
	}
}

func joinedInAnyOrder(t *testing.T, news []*Record) Record {
	var first Record
	for shift := range news {
		r := NewRegister()
		r.MarkRead(1)
		for i := range news {
			r.Join(1, news[(i+shift)%len(news)])
			r.Join(1, news[(i+shift)%len(news)])
		}
		got, _ := r.Get(digest(1))
		if c := r.Join(1, &got); c.New {
			t.Errorf("its own record is news to a register")
		}
		if shift == 0 {
			first = got
		}
		if !slices.Equal(got.Ends, first.Ends) {
			t.Errorf("joined in another order: %v, want %v", got.Ends, first.Ends)
		}
	}
	return first
}

func TestACompletedRunClears(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	r.Join(1, record(digest(1), "acme", 1, -2))
	if c := r.Completed(2, digest(1)); !c.New || c.Before != Held || c.After != Free {
		t.Errorf("completed: %+v", c)
	}
	if got := r.Verdict(2, digest(1)); got != Free {
		t.Errorf("verdict %v", got)
	}
	// News of the same ends that were under way change nothing; the end of another life does.
	r.Join(3, record(digest(1), "acme", 1, -2))
	if got := r.Verdict(3, digest(1)); got != Free {
		t.Errorf("verdict %v after late news", got)
	}
	r.Join(4, record(digest(1), "acme", 3))
	if got := r.Verdict(4, digest(1)); got != Suspect {
		t.Errorf("verdict %v after a further end", got)
	}
}

// TestARecordThatNamesAnotherAccount: a row of another writer may; the account of the first news stays.
func TestARecordThatNamesAnotherAccount(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	r.Join(1, record(digest(1), "", 1))
	r.Join(1, record(digest(1), "acme", -2))
	if r.Verdict(1, digest(1)) != Held || !r.HasRecord("") || r.HasRecord("acme") {
		t.Errorf("verdict %v, watched: %t and %t", r.Verdict(1, digest(1)), r.HasRecord(""), r.HasRecord("acme"))
	}
	r.Expire(2 * heldFor)
	if r.Len() != 0 || r.HasRecord("") {
		t.Error("the record is left")
	}
}

// TestOneMoreRun: a request that is held back runs once more after a while, counted by a write to the
// store, and once more much later.
func TestOneMoreRun(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	held := record(digest(1), "acme", 1, -2)
	r.Join(1, held)
	if _, due := r.Retry(1+firstRetrial, digest(1)); due {
		t.Error("a run is allowed that the store can't count")
	}
	r.Read(1, held, 7)
	if _, due := r.Retry(firstRetrial, digest(1)); due {
		t.Error("a run is allowed too soon")
	}
	w, due := r.Retry(1+firstRetrial, digest(1))
	if !due || w.Version != 7 || w.Retrials != 1 {
		t.Fatalf("write %+v, due %t", w, due)
	}
	if _, due := r.Retry(1+firstRetrial, digest(1)); due {
		t.Error("two runs are allowed at once")
	}
	r.WriteDone(&w, true)
	r.Read(2, &w.Record, 8)
	if _, due := r.Retry(nextRetrial, digest(1)); due {
		t.Error("the next run is allowed too soon")
	}
	w, due = r.Retry(1+nextRetrial, digest(1))
	if !due || w.Retrials != mostRetrials {
		t.Fatalf("write %+v, due %t", w, due)
	}
	r.WriteDone(&w, true)
	if _, due := r.Retry(100*nextRetrial, digest(1)); due {
		t.Error("more runs are allowed than there may be")
	}
	r.RetrialUnused(digest(1))
	if !r.TakeUnusedRetrial(digest(1)) || r.TakeUnusedRetrial(digest(1)) {
		t.Error("a run that did not take place is not allowed just once")
	}
}

// TestAFloodOfOneAccount: one account sends ever other requests that end targets. Others' records stay,
// as do its own that say most, and after a few the first end is enough.
func TestAFloodOfOneAccount(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	r.Join(1, record(digest(-1), "other", 1))
	r.Join(1, record(digest(-2), "acme", 1, -2))
	r.Read(1, record(digest(-2), "acme", 1, -2), 3)
	for n := range 3 * mostOfAccount {
		r.Join(clock.Millis(2+n), record(digest(n), "acme", n))
	}
	if r.Len() != mostOfAccount+1 {
		t.Errorf("%d records, want %d", r.Len(), mostOfAccount+1)
	}
	if r.Verdict(1, digest(-1)) != Suspect || r.Verdict(1, digest(-2)) != Held {
		t.Error("records were pushed out by a flood")
	}
	for n := range suspectAccount {
		r.Join(5000, record(digest(-10-n), "acme", n, -n-1))
	}
	r.Join(5000, record(digest(-50), "acme", 1))
	r.Join(5000, record(digest(-51), "other", 1))
	if r.Verdict(5000, digest(-50)) != Held || r.Verdict(5000, digest(-51)) != Suspect {
		t.Errorf("the first end under an account that sent many: %v, of another account: %v", r.Verdict(5000, digest(-50)), r.Verdict(5000, digest(-51)))
	}
	for n := range 2 * mostRecords {
		r.Join(6000, record(digest(10_000+n), ids.Account(fmt.Sprint("a", n)), n))
	}
	if r.Len() > mostRecords {
		t.Errorf("%d records, more than %d", r.Len(), mostRecords)
	}
	if r.Verdict(6000, digest(-2)) != Held {
		t.Error("a record of a request that is held back was pushed out by other accounts")
	}
}

func TestWhatTheStoreHolds(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	all := func(Digest) bool { return true }
	r.Join(1, record(digest(1), "acme", 1))
	if due := r.Unwritten(all); len(due) != 0 {
		t.Errorf("written after one end: %v", due)
	}
	r.Join(1, record(digest(1), "acme", -2))
	due := r.Unwritten(all)
	if len(due) != 1 || due[0].Version != 0 || due[0].Remove {
		t.Fatalf("due %+v", due)
	}
	r.Read(2, &due[0].Record, 5)
	if due := r.Unwritten(all); len(due) != 0 {
		t.Errorf("written again: %v", due)
	}
	r.Read(2, record(digest(1), "acme", 1), 4) // read before, come later
	if due := r.Unwritten(all); len(due) != 0 {
		t.Errorf("written again after an older row: %v", due)
	}
	r.Completed(3, digest(1))
	if due := r.Unwritten(all); len(due) != 1 || !due[0].Remove || due[0].Version != 5 {
		t.Fatalf("due after a completed run %+v", due)
	}
	r.RowRemoved(digest(1))
	if due := r.Unwritten(all); len(due) != 0 {
		t.Errorf("due of a row that is gone: %v", due)
	}
	if rows := r.Expire(3 + excusedFor); len(rows) != 0 || r.Len() != 0 {
		t.Errorf("%d records and rows %v are left", r.Len(), rows)
	}
}

// TestRequestsThatComeRarely: one that comes each few minutes is remembered from one time to the next.
func TestRequestsThatComeRarely(t *testing.T) {
	r := NewRegister()
	r.MarkRead(1)
	r.Join(1, record(digest(1), "acme", 1))
	r.Expire(suspectFor - 1)
	r.Join(suspectFor, record(digest(1), "acme", -2))
	r.Expire(heldFor)
	if got := r.Verdict(heldFor, digest(1)); got != Held {
		t.Errorf("verdict %v", got)
	}
	r.Expire(2 * heldFor)
	if r.Len() != 0 {
		t.Error("a request is remembered for ever")
	}
}

// BenchmarkWatches is what a request pays while nothing is known against any: 3 ns, where
// nothing was asked before.
func BenchmarkWatches(b *testing.B) {
	r := NewRegister()
	b.ReportAllocs()
	for b.Loop() {
		if r.HasRecord("acme") {
			b.Fatal("watched")
		}
	}
}

// BenchmarkIdentify is what a request of 2 kB pays besides where its account is watched: 1.7 µs, where
// no digest was worked out before.
func BenchmarkIdentify(b *testing.B) {
	body := make([]byte, 2048)
	b.ReportAllocs()
	for b.Loop() {
		Identify("acme", "/chat/q", body)
	}
}

// BenchmarkUnwritten is what a full register costs five times a second where the store holds all that
// it is to: 0.36 ms and no allocation, 2.1 ms and 790 kB with a copy of each record.
func BenchmarkUnwritten(b *testing.B) {
	r := NewRegister()
	r.MarkRead(1)
	for n := range mostRecords {
		held := record(digest(n), ids.Account(fmt.Sprint("a", n%64)), n, -n-1)
		r.Join(1, held)
		r.Read(1, held, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Unwritten(func(Digest) bool { return true })) > 0 {
			b.Fatal("something is due")
		}
	}
}
