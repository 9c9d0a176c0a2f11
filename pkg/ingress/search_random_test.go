package ingress_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/ids"
)

// Randomized and exhaustive tests of searches: whatever targets and callers do, a caller gets each event once, no more
// targets than allowed run a request, and all assignments and unused retries are returned.

// TestSearchEndsWithRequest: at whatever moment of a search the caller leaves, the deadline passes, or the entry ends:
// nothing is sent to a target afterwards, all connections of the request are closed, and all assignments and unused
// retries are returned.
func TestSearchEndsWithRequest(t *testing.T) {
	ends := []struct {
		name string
		do   func(b *testbed, cancel context.CancelFunc)
	}{
		{"the caller leaves", func(_ *testbed, cancel context.CancelFunc) { cancel() }},
		{"the entry ends", func(b *testbed, _ context.CancelFunc) { b.controller.End() }},
		{"the deadline passes", nil},
	}
	for _, attempts := range []int{2, 3, 4} {
		for _, s := range ends {
			for at := 900 * time.Millisecond; at <= 2600*time.Millisecond; at += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { checkSearchEnds(t, attempts, s.name, at, s.do) })
			}
		}
	}
}

// checkSearchEnds has a request whose targets all fall silent end at a moment after its beginning, and checks what
// TestSearchEndsWithRequest says; attempts is how many targets may get it. If do is nil, its deadline is that moment.
func checkSearchEnds(t *testing.T, attempts int, name string, at time.Duration, do func(*testbed, context.CancelFunc)) {
	var mu sync.Mutex
	running, latest := 0, time.Time{}
	count := func(then scriptedTarget) scriptedTarget {
		return func(c net.Conn, r *http.Request) bool {
			mu.Lock()
			running++
			mu.Unlock()
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				running--
				latest = time.Now()
			}()
			return then(c, r)
		}
	}
	b := newTestbed(t, fakeMeter{}, count(goesSilent(func() {})), count(silent), count(silent), count(silent))
	b.allowAttempts(attempts)
	b.scheduler.repeatDelay = 120 * time.Millisecond
	b.dialer.set(70*time.Millisecond, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	var header map[string]string
	if do == nil {
		header = map[string]string{"Wait": fmt.Sprint(at.Milliseconds())}
	} else {
		time.AfterFunc(at, func() { do(b, cancel) })
	}
	b.call(ctx, "/resume/a", header)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if over := began.Add(at + 150*time.Millisecond); running > 0 || latest.After(over) {
		t.Errorf("%d targets allowed, %s after %v: %d running, the last ended %v after the beginning", attempts, name, at, running, latest.Sub(began))
	}
	assigned, reached := 0, len(b.arrived())
	b.scheduler.mu.Lock()
	ended := len(b.scheduler.outcomes)
	b.scheduler.mu.Unlock()
	for _, a := range b.arrived() {
		if a.at.After(began.Add(at + 10*time.Millisecond)) {
			t.Errorf("%d targets allowed, %s after %v: sent %v after the beginning", attempts, name, at, a.at.Sub(began))
		}
		assigned++
	}
	if ended < assigned || reached > attempts {
		t.Errorf("%d targets allowed, %s after %v: %d arrivals, %d assignments returned", attempts, name, at, reached, ended)
	}
	// The retry budget gives 0.7 of the slack of 100 and of a fifth of the one request, less the retries that were used.
	left := 0
	for b.retries.TakeRetry(b.clock.Now(), "s", 1) {
		left++
	}
	if want := 70 - (reached - 1); left != want {
		t.Errorf("%d targets allowed, %s after %v: %d retries left, want %d (%d arrivals)", attempts, name, at, left, want, reached)
	}
}

// randomTarget is a target that behaves at random: it declines, fails, closes, or streams with pauses, and may break
// off. It counts the runs that it began.
func randomTarget(random *rand.Rand, runs *atomic.Int64) scriptedTarget {
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	return func(c net.Conn, r *http.Request) bool {
		time.Sleep(time.Duration(draw(500)) * time.Millisecond)
		behaviour := draw(10)
		if behaviour == 0 {
			return replies(503, "Not-Run: 1\r\n", "")(c, r)
		}
		runs.Add(1)
		switch behaviour {
		case 1:
			return replies(500, "", "failed")(c, r)
		case 2:
			return false
		}
		cut, pauseAt, pause := draw(20), draw(12), time.Duration(draw(2000))*time.Millisecond
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for n := last + 1; n <= 10; n++ {
			if n == pauseAt {
				time.Sleep(pause)
			}
			text := events(n)[n-1]
			if n == cut {
				text = text[:len(text)/2]
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil || n == cut {
				return false
			}
			time.Sleep(time.Duration(draw(40)) * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// TestRandomTargetBehaviour: whatever four targets do with a request, its caller gets each event once and in order, an
// answer that looks complete is complete, no more targets than allowed run the request, a request that has run is not
// reported as not run, and each assignment is returned once.
func TestRandomTargetBehaviour(t *testing.T) {
	for seed := range uint64(1500) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRandomTargets(t, seed) })
		})
	}
}

// checkRandomTargets makes one request to four random targets, by an entry and a caller whose delays are random too,
// and checks what TestRandomTargetBehaviour says.
func checkRandomTargets(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 44))
	var runs atomic.Int64
	attempts := 2 + random.IntN(3)
	var targets []scriptedTarget
	for n := range 4 {
		targets = append(targets, randomTarget(rand.New(rand.NewPCG(seed, uint64(n))), &runs))
	}
	b := newTestbed(t, fakeMeter{}, targets...)
	b.allowAttempts(attempts)
	b.scheduler.delay = time.Duration(random.IntN(100)) * time.Millisecond
	b.scheduler.repeatDelay = time.Duration(random.IntN(300)) * time.Millisecond
	b.scheduler.redispatched = []ids.Target{"", "t1", "t2", "t3"}[random.IntN(4)]
	var assignments atomic.Int64
	b.scheduler.placed = func() { assignments.Add(1) }
	b.dialer.set(time.Duration(random.IntN(150))*time.Millisecond, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaves := random.IntN(8000); leaves < 4000 {
		time.AfterFunc(time.Duration(leaves)*time.Millisecond, cancel)
	}
	got := b.call(ctx, "/resume/a", nil)
	time.Sleep(4 * time.Second)
	all := strings.Join(events(10), "")
	switch {
	case got.status == 200 && (!strings.HasPrefix(all, got.body) || got.complete && got.body != all):
		t.Errorf("complete %t, body %q", got.complete, got.body)
	case got.status == 503 && runs.Load() > 0:
		t.Errorf("reported as not run after %d runs", runs.Load())
	}
	if int(runs.Load()) > attempts {
		t.Errorf("%d runs where %d are allowed", runs.Load(), attempts)
	}
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	if ended := len(b.scheduler.outcomes); ended != int(assignments.Load()) {
		t.Errorf("%d assignments, %d returned: %v", assignments.Load(), ended, b.scheduler.outcomes)
	}
}
