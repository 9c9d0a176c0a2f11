package buffers_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"quaydock/pkg/buffers"
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const kibibyte = 1 << 10 // in bytes

// TestLimitsFollowMemory guards against bounds that a small VM can't hold.
func TestLimitsFollowMemory(t *testing.T) {
	for _, megabytes := range []int{0, 64, 112, 216, 512, 4096} {
		l := buffers.LimitsFor(megabytes)
		if megabytes > 0 && l.Total > megabytes<<20/4 {
			t.Errorf("%d MB: %d bytes in all", megabytes, l.Total)
		}
		if l.Total < 8<<20 || l.Exchange < 256*kibibyte || l.Exchange > l.Total/16 || l.Bodies > l.Total/2 {
			t.Errorf("%d MB: %+v", megabytes, l)
		}
	}
}

// newReaders returns n readers that record in broken that they were broken off.
func newReaders(n int, broken *[]int) []*buffers.Reader {
	readers := make([]*buffers.Reader, n)
	for i := range readers {
		readers[i] = &buffers.Reader{BreakOff: func(buffers.End) { *broken = append(*broken, i) }}
	}
	return readers
}

// TestSlowestReaderIsBrokenOff checks which of several readers goes first.
func TestSlowestReaderIsBrokenOff(t *testing.T) {
	var broken []int
	a := buffers.NewAccount(buffers.Limits{Total: 100, Exchange: 100, Bodies: 50})
	r := newReaders(5, &broken)
	hold := func(now clock.Millis, i, n int) { buffers.BreakOff(a.Hold(now, r[i], n)) }
	hold(0, 0, 10)
	hold(10, 1, 10)
	a.Take(20, r[0], 10) // it has caught up
	hold(30, 0, 10)
	hold(40, 2, 60)
	a.Take(50, r[1], 5) // a little, but it is still behind
	hold(60, 3, 20)
	if len(broken) != 0 {
		t.Fatalf("%v are broken off within the bound", broken)
	}
	hold(70, 3, 10)
	if want := []int{2}; !slices.Equal(broken, want) {
		t.Fatalf("%v are broken off, want %v", broken, want)
	}
	hold(80, 4, 99)
	if want := []int{2, 3, 0, 1}; !slices.Equal(broken, want) {
		t.Errorf("%v are broken off, want %v", broken, want)
	}
	if u := a.Usage(); u != (buffers.Usage{Answers: 99, Readers: 1}) {
		t.Errorf("%+v", u)
	}
	if slowest := a.Hold(90, r[4], 2); len(slowest) != 1 || slowest[0] != r[4] {
		t.Errorf("%v", slowest)
	}
	if u := a.Usage(); u != (buffers.Usage{}) {
		t.Errorf("%+v", u)
	}
}

// TestReportNamesTheSlowestReaders checks that the readers that would be broken off next come first, and that their number
// is bounded.
func TestReportNamesTheSlowestReaders(t *testing.T) {
	var broken []int
	limits := buffers.Limits{Total: 10_000, Exchange: 1000, Bodies: 5000}
	a := buffers.NewAccount(limits)
	const count = 30
	for i, r := range newReaders(count, &broken) {
		a.Hold(clock.Millis(i), r, 2*(1+i)) // the longer behind, the less is held
		a.Take(100, r, 1+i)
	}
	a.HoldBody(100, 0, 70)
	report := a.Report(200)
	if want := (buffers.Usage{Answers: count * (count + 1) / 2, Bodies: 70, Readers: count}); report.Held != want || report.Limits != limits {
		t.Errorf("%+v", report)
	}
	if len(report.Slowest) == 0 || len(report.Slowest) >= count {
		t.Fatalf("%d readers are named", len(report.Slowest))
	}
	if want := (buffers.ReaderState{Held: count, Untaken: 100, Behind: 200 - (count - 1)}); report.Slowest[0] != want {
		t.Errorf("the slowest is %+v, want %+v", report.Slowest[0], want)
	}
	if empty := buffers.NewAccount(limits).Report(0); empty.Slowest == nil || len(empty.Slowest) > 0 {
		t.Errorf("an empty account names %v", empty.Slowest)
	}
}

// TestLargestStatedLengthIsRefused guards against a sum that overflows.
func TestLargestStatedLengthIsRefused(t *testing.T) {
	a := buffers.NewAccount(buffers.LimitsFor(0))
	for _, n := range []int{1, math.MaxInt} {
		if _, held := a.HoldBody(0, 0, n); held != (n == 1) {
			t.Errorf("%d bytes are held: %t", n, held)
		}
	}
}

// TestBodiesOfLowerTiersAreRefusedFirst guards against a higher tier that is refused before a lower one.
func TestBodiesOfLowerTiersAreRefusedFirst(t *testing.T) {
	a := buffers.NewAccount(buffers.Limits{Total: 1600, Exchange: 100, Bodies: 800})
	held := make(map[ids.TierRank]int)
	for _, tier := range []ids.TierRank{40, 3, 2, 1, 0} {
		for {
			if _, ok := a.HoldBody(0, tier, 10); !ok {
				break
			}
			held[tier] += 10
		}
	}
	for tier, want := range map[ids.TierRank]int{40: 500, 3: 0, 2: 100, 1: 100, 0: 100} {
		if held[tier] != want {
			t.Errorf("tier %d holds %d, want %d", tier, held[tier], want)
		}
	}
}

// TestSlowReadersDoNotKeepBodiesOut guards against requests that are refused for callers that don't read.
func TestSlowReadersDoNotKeepBodiesOut(t *testing.T) {
	var broken []int
	a := buffers.NewAccount(buffers.Limits{Total: 100, Exchange: 100, Bodies: 50})
	r := newReaders(2, &broken)
	buffers.BreakOff(a.Hold(0, r[0], 50))
	buffers.BreakOff(a.Hold(1, r[1], 50))
	slowest, held := a.HoldBody(2, 0, 20)
	buffers.BreakOff(slowest)
	if !held || !slices.Equal(broken, []int{0}) {
		t.Errorf("held %t, broken off %v", held, broken)
	}
	if slowest, held := a.HoldAnswer(3, 80); !held || !slices.Equal(slowest, r[1:]) || a.Usage().Readers != 0 {
		t.Errorf("held %t, %v, %+v", held, slowest, a.Usage())
	}
	if _, held := a.HoldBody(4, 0, 1); held {
		t.Error("a body is held beyond the bound of all")
	}
}

// TestAnswerThatCannotFitBreaksNobodyOff guards against readers that are broken off in vain.
func TestAnswerThatCannotFitBreaksNobodyOff(t *testing.T) {
	var broken []int
	a := buffers.NewAccount(buffers.Limits{Total: 100, Exchange: 100, Bodies: 50})
	r := newReaders(3, &broken)
	for i := range r {
		buffers.BreakOff(a.Hold(clock.Millis(i), r[i], 20))
	}
	_, body := a.HoldBody(3, 0, 20)
	slowest, held := a.HoldAnswer(4, 81)
	if want := (buffers.Usage{Answers: 60, Bodies: 20, Readers: 3}); !body || held || len(slowest) > 0 || a.Usage() != want {
		t.Errorf("held %t, %d broken off, %+v", held, len(slowest), a.Usage())
	}
	if slowest, held := a.HoldAnswer(5, 40); !held || !slices.Equal(slowest, r[:1]) {
		t.Errorf("held %t, %d broken off", held, len(slowest))
	}
	if u := a.Usage(); u != (buffers.Usage{Answers: 80, Bodies: 20, Readers: 2}) {
		t.Errorf("%+v", u)
	}
}

// TestAccountStaysWithinItsBound guards against bytes that are counted twice, or not released.
func TestAccountStaysWithinItsBound(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		limits := buffers.Limits{Total: 1000, Exchange: 200, Bodies: 400}
		a := buffers.NewAccount(limits)
		var broken []int
		readers := newReaders(40, &broken)
		held, bodies, unsent := make([]int, len(readers)), 0, 0
		for now := range clock.Millis(2000) {
			i := random.IntN(len(readers))
			switch n := 1 + random.IntN(50); random.IntN(4) {
			case 0, 1:
				if held[i] >= 0 {
					held[i] += n
					buffers.BreakOff(a.Hold(now, readers[i], n))
				}
			case 2:
				if n = min(n, held[i]); n > 0 {
					held[i] -= n
					a.Take(now, readers[i], n)
				}
			case 3:
				slowest, ok := a.HoldBody(now, ids.TierRank(random.IntN(4)), n)
				buffers.BreakOff(slowest)
				if ok {
					bodies += n
				}
				if random.IntN(2) == 0 {
					a.ReleaseBody(bodies)
					bodies = 0
				}
			}
			if n := random.IntN(200); random.IntN(8) == 0 {
				slowest, ok := a.HoldAnswer(now, n)
				if ok {
					unsent += n
				} else if len(slowest) > 0 || bodies+unsent+n <= limits.Total {
					t.Fatalf("seed %d at %d: %d bytes are not held, %d readers broken off", seed, now, n, len(slowest))
				}
				buffers.BreakOff(slowest)
				if random.IntN(4) == 0 {
					a.ReleaseAnswer(unsent)
					unsent = 0
				}
			}
			for _, b := range broken {
				held[b] = -1
			}
			sum := unsent
			for _, h := range held {
				sum += max(0, h)
			}
			if u := a.Usage(); u.Answers != sum || u.Bodies != bodies || sum+bodies > limits.Total || bodies > limits.Bodies {
				t.Fatalf("seed %d at %d: %+v, want %d and %d", seed, now, u, sum, bodies)
			}
		}
		for _, r := range readers {
			a.Drop(r)
		}
		a.ReleaseBody(bodies)
		a.ReleaseAnswer(unsent)
		if u := a.Usage(); u != (buffers.Usage{}) {
			t.Errorf("seed %d: %+v is left", seed, u)
		}
	}
}
