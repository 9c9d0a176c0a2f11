package streams_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/history"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
	"quaydock/pkg/routing"
	"quaydock/pkg/streams"
)

func ExampleParseRecord() {
	record, err := streams.ParseRecord([]byte(`{"era":2,"versions":["v1"],"routes":["chat"],"announced":[]}`))
	fmt.Println(record.Versions, record.Routes, err)
	_, err = streams.ParseRecord([]byte(`{"era":2}`))
	fmt.Println(err)
	// Output:
	// [v1] [chat] <nil>
	// record of a service's streams: no versions
}

// record returns the record of the service in the store.
func (b *bed) record() *streams.Record {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	record, err := streams.ParseRecord(b.store.rows["s"].Value)
	if err != nil {
		return &streams.Record{}
	}
	return record
}

// filtered returns the versions at which streams may begin at an entry that lists targets.
func (b *bed) filtered(entry int, targets []*routing.Target) (get func() []ids.Version) {
	var present *routing.Directory
	b.entries[entry].FilterTargets(func(d *routing.Directory) {
		b.mu.Lock()
		defer b.mu.Unlock()
		present = d
	})(routing.NewDirectory(targets))
	return func() (list []ids.Version) {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, t := range present.Serving("s") {
			if !t.Undeclared {
				list = append(list, t.Version)
			}
		}
		return list
	}
}

// TestNoStreamBeginsAtVersionThatIsNotRecorded guards against streams of a version that the store does not name, so that
// nobody knows of it once all entries were killed.
func TestNoStreamBeginsAtVersionThatIsNotRecorded(t *testing.T) {
	scenarios := []struct {
		name string
		away bool // the store, when the second version is listed
		want string
	}{
		{"the record names it soon", false, "[v1 v2]"},
		{"the store is away", true, "[v1]"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, 3, of("v1"), route("s"))
				b.store.setAway(s.away)
				serving := b.filtered(0, of("v1", "v2"))
				if got := fmt.Sprint(serving()); got != "[v1]" {
					t.Errorf("%s at once", got)
				}
				b.list(of("v1", "v2"))
				time.Sleep(500 * time.Millisecond)
				if got := fmt.Sprint(serving()); got != s.want {
					t.Errorf("%s, want %s; the record has %v", got, s.want, b.record().Versions)
				}
			})
		})
	}
}

// TestVersionIsRecordedByAnotherEntryThanTheOwner guards against versions that are not used while the owner of their service
// cannot write.
func TestVersionIsRecordedByAnotherEntryThanTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		owner := b.ranked("stream-versions/s")[0]
		for i, o := range b.entries {
			if i != owner {
				o.SetDirectory(routing.NewDirectory(of("v1", "v2"))) // the owner has not read it
			}
		}
		time.Sleep(2 * time.Second)
		if got := fmt.Sprint(b.record().Versions); got != "[v1 v2]" {
			t.Errorf("recorded: %s", got)
		}
	})
}

// TestRecordOfFormerEraSaysNothing guards against streams that go on by what the store lost a part of.
func TestRecordOfFormerEraSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		for i := range 3 {
			b.kill(i)
		}
		b.store.mu.Lock()
		b.store.era++
		for key, row := range b.store.rows {
			row.Position = history.At(b.store.era, row.Position.Version)
			b.store.rows[key] = row
		}
		b.store.mu.Unlock()
		for i := range 3 {
			b.start(i, of("v1"), route("s"))
		}
		time.Sleep(time.Second)
		if found := b.find(1, "r1"); found.Origin != nil {
			t.Errorf("found %+v by %v", found.Origin, found.Source)
		}
		if got := b.record(); got.Era != b.store.era || len(got.Routes) > 0 {
			t.Errorf("record %+v", got)
		}
	})
}

// TestVersionLeavesRecordWhenNoStreamOfItIsLeft guards against services that count as having two versions for good.
func TestVersionLeavesRecordWhenNoStreamOfItIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1", "v2"), route("s"))
		b.list(of("v1"))
		time.Sleep(4 * time.Minute)
		if got := fmt.Sprint(b.record().Versions); got != "[v1 v2]" {
			t.Errorf("after 4 minutes: %s", got)
		}
		time.Sleep(2 * time.Minute)
		if got := b.record(); fmt.Sprint(got.Versions, got.Routes) != "[v1] [r]" {
			t.Errorf("after 6 minutes: %+v", got)
		}
	})
}

// TestStreamWaitsUntilItsRouteIsFree guards against streams of one route at two services, of which the store names one.
func TestStreamWaitsUntilItsRouteIsFree(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("store away: ", away), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, 3, of("v1"), route("s"))
				b.store.setAway(away)
				for _, o := range b.entries {
					o.SetRoutes(route("other"))
				}
				if may := b.entries[0].AwaitBegin(context.Background(), "r", "other"); may == away {
					t.Errorf("may begin at the other service: %t; the record has %v", may, b.record().Routes)
				}
				if !b.entries[0].AwaitBegin(context.Background(), "r", "s") {
					t.Error("may not begin where its route led")
				}
			})
		})
	}
}

// TestStaleRecordIsNotReliedOn guards against streams that go on by what an entry read before it was suspended or cut off.
func TestStaleRecordIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		cut := b.ranked("stream-versions/s")[2] // neither the owner nor next in line
		b.stops[cut]()
		b.startStale(cut, of("v1"), route("s"))
		for i, o := range b.entries {
			if i != cut {
				o.SetDirectory(routing.NewDirectory(of("v1", "v2")))
			}
		}
		time.Sleep(2 * time.Second)
		if found := b.find(cut, "r1"); found.Origin != nil {
			t.Errorf("found %+v by %v, from a record read %d ms ago", found.Origin, found.Source, found.RecordAge)
		}
	})
}

// TestRecordFitsIntoRow guards against records that the store refuses for their size, so that no version is used.
func TestRecordFitsIntoRow(t *testing.T) {
	const rowBytes, routes = 64 << 10, 4000
	synctest.Test(t, func(t *testing.T) {
		var list []*routing.Route
		for n := range routes {
			r := *route("s")[0]
			r.Name = fmt.Sprintf("a-route-with-a-long-name-%05d", n)
			list = append(list, &r)
		}
		b := newBed(t, 3, of("v1"), list)
		time.Sleep(2 * time.Second)
		record := b.record()
		value, err := record.Encode()
		if err != nil || len(value) > rowBytes || !record.Complete || len(record.Routes) == 0 {
			t.Errorf("%d bytes with %d routes, complete %t, %v", len(value), len(record.Routes), record.Complete, err)
		}
	})
}

// TestNothingIsKnownWithoutRecord guards against streams that go on at the only version that entries have listed, while
// others may have begun streams at one that no record names.
func TestNothingIsKnownWithoutRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		b.store.mu.Lock()
		b.store.era++ // the store has returned from a copy of before the record, and takes no writes
		clear(b.store.rows)
		b.store.refusing = true
		b.store.mu.Unlock()
		time.Sleep(time.Second)
		if found := b.find(1, "r1"); found.Origin != nil {
			t.Errorf("found %+v by %v", found.Origin, found.Source)
		}
		b.begin(0, "r2", "v1")
		time.Sleep(50 * time.Millisecond)
		b.kill(0)
		if found := b.find(1, "r2"); found.Origin == nil {
			t.Error("no copy of the origin of a stream that an entry relayed")
		}
	})
}

// TestRestartWritesNoRecord guards against owners that take off the record what they have not adopted yet.
func TestRestartWritesNoRecord(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t, 3, of("v1"), route("s"))
			before := b.store.count()
			for i := range 3 {
				b.kill(i)
			}
			for i := range 3 {
				b.start(i, of("v1"), route("s"))
			}
			time.Sleep(2 * time.Second)
			if after := b.store.count(); after != before {
				t.Errorf("%d writes, the record has %+v", after-before, b.record())
			}
		})
	}
}

// TestStreamsBeginOnRouteOfServiceWithoutOtherStreams guards against streams that are refused for good once the only route
// of a service has moved to another one.
func TestStreamsBeginOnRouteOfServiceWithoutOtherStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		b.moveRoute("s", "other")
		time.Sleep(time.Minute)
		if !b.entries[0].AwaitBegin(context.Background(), "r", "other") {
			t.Errorf("may not begin a minute after the route has moved; the record of the former service has %v", b.record().Routes)
		}
	})
}

// TestRecordIsNotReliedOnWithoutAnswers guards against streams that go on by an old record at an entry that is cut off from
// the store and from the other entries.
func TestRecordIsNotReliedOnWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		cut := b.ranked("stream-versions/s")[2]
		b.stops[cut]()
		b.startStale(cut, of("v1"), route("s"))
		time.Sleep(100 * time.Millisecond)
		b.net.Lose(func(from, to netip.AddrPort, _ packets.Kind) bool { return from == address(cut) || to == address(cut) })
		for i, o := range b.entries {
			if i != cut {
				o.SetDirectory(routing.NewDirectory(of("v1", "v2")))
			}
		}
		time.Sleep(10 * time.Second)
		b.begin((cut+1)%3, "r1", "v2")
		if found := b.find(cut, "r1"); found.Origin != nil {
			t.Errorf("found %+v by %v, from a record read %d ms ago, by %d answers of %d", found.Origin, found.Source, found.RecordAge, found.Answered, found.Asked)
		}
	})
}

// TestRecordOfAMomentAgoIsNotReliedOn guards against streams that go on at an entry that reads the store later than the one
// where they began.
func TestRecordOfAMomentAgoIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 9, of("v1"), route("s"))
		key := streams.NewKey("acme", "r1")
		ranked := b.ranked("streams/" + string(key[:]))
		late := ranked[len(ranked)-1]
		b.stops[late]()
		b.startStale(late, of("v1"), route("s"))
		time.Sleep(100 * time.Millisecond)
		for i, o := range b.entries {
			if i != late {
				o.SetDirectory(routing.NewDirectory(of("v1", "v2")))
			}
		}
		time.Sleep(time.Second)
		b.begin((late+1)%9, "r1", "v2")
		time.Sleep(40 * time.Millisecond)
		if found := b.find(late, "r1"); found.Origin != nil && found.Origin.Version != "v2" {
			t.Errorf("found %+v by %v, from a record read %d ms ago, %d asked; the record names %v", found.Origin, found.Source, found.RecordAge, found.Asked, b.record().Versions)
		}
	})
}

// TestRouteTakenOffRecordIsNotReliedOn guards against streams that go on at the service that their route has left, at an
// entry that reads the configuration late.
func TestRouteTakenOffRecordIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 3, of("v1"), route("s"))
		late := b.ranked("stream-versions/s")[2]
		for i, o := range b.entries {
			if i != late {
				o.SetRoutes(route("other"))
			}
		}
		time.Sleep(2 * time.Second)
		if !b.entries[(late+1)%3].AwaitBegin(context.Background(), "r", "other") {
			t.Fatal("no stream may begin at the other service")
		}
		if found := b.find(late, "r1"); found.Origin != nil {
			t.Errorf("found %+v by %v; the record has %v", found.Origin, found.Source, b.record().Routes)
		}
	})
}

// TestWritesAreFewWhileStoreRefusesThem guards against entries that use up the store's writes for a record that it refuses.
func TestWritesAreFewWhileStoreRefusesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, 9, of("v1"), route("s"))
		b.store.setAway(true)
		b.list(of("v1", "v2"))
		before := b.store.count()
		time.Sleep(time.Minute)
		if writes := b.store.count() - before; writes > 120 {
			t.Errorf("%d writes of one record in a minute", writes)
		}
	})
}
