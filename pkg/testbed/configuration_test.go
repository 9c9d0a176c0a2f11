package testbed_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/network"
	"quaydock/pkg/table"
	"quaydock/pkg/testbed"
)

// operator changes the configuration.
type operator struct {
	t     *testing.T
	table *table.Table
}

// newOperator returns an operator with connections to the table of its own.
func newOperator(t *testing.T, bed *testbed.Bed) *operator {
	t.Helper()
	table := table.NewTable(bed.Network, "http://"+testbed.TableAddress, 2*clock.Second)
	t.Cleanup(table.Close)
	return &operator{t: t, table: table}
}

// read returns the newest configuration.
func (o *operator) read() table.State {
	o.t.Helper()
	state, err := o.table.Configuration(context.Background())
	if err != nil {
		o.t.Fatal(err)
	}
	return state
}

// removePlacement returns the change that removes the placements of target i.
func removePlacement(state table.State, i int, who string) declaration.Change {
	set := state.Set
	var kept []declaration.Placement
	for _, p := range set.Placements {
		if p.Target != testbed.TargetName(i) {
			kept = append(kept, p)
		}
	}
	set.Placements = kept
	change := declaration.Diff(state.Set, set)
	change.Who = who
	return change
}

// publish publishes a change of the configuration base. It fails if another change came first.
func (o *operator) publish(base table.State, change declaration.Change) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := o.table.Publish(ctx, base, change)
	return err
}

// TestRemovedPlacementGetsNoWork: a target without placements gets no new work from 3 s on, and its running
// requests are completed.
func TestRemovedPlacementGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 2, Engines: engines(2), Slots: 4})
		callers := newCallers(t, bed)
		var running sync.WaitGroup
		running.Go(func() {
			for _, a := range parallel(8, func(i int) testbed.Answer {
				return callers[i%2].Chat(context.Background(), fmt.Sprint("running ", i), 1200, true, nil)
			}) {
				if a.Ending != testbed.Complete {
					t.Errorf("a running request ended %v: %s", a.Ending, a.Code)
				}
			}
		})
		o := newOperator(t, bed)
		if err := o.publish(o.read(), removePlacement(o.read(), 0, "one")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		before := len(bed.Engines[0].AllRuns())
		answers := parallel(20, func(i int) testbed.Answer {
			return callers[i%2].Chat(context.Background(), fmt.Sprint("after ", i), 5, true, nil)
		})
		if endings := checkAnswers(t, bed, answers); endings[testbed.Complete] != len(answers) {
			t.Errorf("endings %v, want all complete", endings)
		}
		running.Wait()
		if got := len(bed.Engines[0].AllRuns()); got != before {
			t.Errorf("the target got %d new requests", got-before)
		}
	})
}

// TestStaleReadsKeepNewerRevision: an entry whose reads return an old state of the table keeps the newer revision
// that it has. The program itself checks that no revision goes back.
func TestStaleReadsKeepNewerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 4})
		caller := newCaller(t, bed)
		o := newOperator(t, bed)
		state := o.read()
		bed.Table.SaveState()
		if err := o.publish(state, removePlacement(state, 0, "one")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		bed.Table.ServeSaved(true) // reads return the head from before the change
		time.Sleep(10 * time.Second)
		bed.Table.SetDown(true)
		time.Sleep(10 * time.Second)
		before := len(bed.Engines[0].AllRuns())
		answers := parallel(10, func(i int) testbed.Answer {
			return caller.Chat(context.Background(), fmt.Sprint("after ", i), 5, true, nil)
		})
		if endings := checkAnswers(t, bed, answers); endings[testbed.Complete] != len(answers) {
			t.Errorf("endings %v without the table, want all complete", endings)
		}
		if got := len(bed.Engines[0].AllRuns()); got != before {
			t.Errorf("the removed target got %d requests", got-before)
		}
	})
}

// TestConcurrentOperators: two operators change the same state at the same moment, and the connection to the table
// breaks at each message in turn. Exactly one change is made, and each operator gets the true result.
func TestConcurrentOperators(t *testing.T) {
	for _, direction := range []network.Direction{network.Request, network.Reply} {
		for _, effect := range []network.Effect{network.BreakBefore, network.BreakAfter} {
			for message := range 24 {
				faults := network.NewFaults(network.Fault{Address: testbed.TableAddress, Direction: direction, Effect: effect, Message: message})
				synctest.Test(t, func(t *testing.T) { raceOperators(t, faults) })
			}
		}
	}
}

// raceOperators has two operators publish different changes of the same state at once. The fault may hit the reading of
// that state, which is therefore tried up to three times.
func raceOperators(t *testing.T, faults *network.Faults) {
	bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(2), Slots: 4, Faults: faults})
	operators := []*operator{newOperator(t, bed), newOperator(t, bed)}
	var state table.State
	for tries := 0; ; tries++ {
		var err error
		if state, err = operators[0].table.Configuration(context.Background()); err == nil {
			break
		}
		if tries == 2 {
			t.Fatal(err)
		}
	}
	failures := make([]error, len(operators))
	var racing sync.WaitGroup
	for i, o := range operators {
		racing.Go(func() { failures[i] = o.publish(state, removePlacement(state, i, fmt.Sprint("operator ", i))) })
	}
	racing.Wait()
	faults.Clear()
	newest := operators[0].read()
	if newest.Head.Revision != state.Head.Revision+1 {
		t.Fatalf("revision %d after %d, want the next one", newest.Head.Revision, state.Head.Revision)
	}
	change, err := operators[0].table.Change(context.Background(), newest.Head.Revision)
	if err != nil {
		t.Fatal(err)
	}
	for i, failure := range failures {
		var conflict *table.ConflictError
		won := change.Who == fmt.Sprint("operator ", i)
		if won != (failure == nil) || (!won && !errors.As(failure, &conflict)) {
			t.Errorf("%s made the change; operator %d got error %v", change.Who, i, failure)
		}
	}
}

// TestLateStartReadsSnapshotAndChanges: a process that starts late reads the newest snapshot and the changes since.
// There is a snapshot of revision 1 and of every 50th after it.
func TestLateStartReadsSnapshotAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 4})
		o := newOperator(t, bed)
		for n := range 120 {
			state := o.read()
			set := state.Set
			set.Accounts = append([]declaration.Account(nil), set.Accounts...)
			set.Accounts[0].Weight = float64(n + 1)
			change := declaration.Diff(state.Set, set)
			if err := o.publish(state, change); err != nil {
				t.Fatal(err)
			}
		}
		state := o.read()
		if state.Head.Revision != 121 || state.Set.Accounts[0].Weight != 120 || state.Head.Snapshot != 101 {
			t.Errorf("head %+v, weight %v", state.Head, state.Set.Accounts[0].Weight)
		}
		bed.Entries[0].Close()
		next, err := bed.StartEntry(0)
		if err != nil {
			t.Fatal(err)
		}
		bed.Entries[0] = next
		time.Sleep(time.Second)
		if answer := newCaller(t, bed).Chat(context.Background(), "late", 3, true, nil); answer.Ending != testbed.Complete {
			t.Errorf("ended %v: %s", answer.Ending, answer.Body)
		}
	})
}
