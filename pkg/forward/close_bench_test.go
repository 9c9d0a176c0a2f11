package forward_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/forward"
	"quaydock/pkg/network"
)

// slotted is a target with slots, each question waiting for one or being turned away without the target's id.
type slotted struct {
	slots, queue int
	work         time.Duration // that a slot is held by others, again and again
	identified   bool          // rejections name the target
	mu           sync.Mutex
	running      int
	waiting      []chan struct{}
}

// hold has the target's slots taken by other requests for a time of each, and as many wait as the queue takes.
func (s *slotted) hold(stop <-chan struct{}, callers int) {
	for range callers {
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if !s.run(s.work) {
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
}

// run takes a slot for a time, and reports whether there was room.
func (s *slotted) run(work time.Duration) bool {
	s.mu.Lock()
	if s.running >= s.slots {
		if len(s.waiting) >= s.queue {
			s.mu.Unlock()
			return false
		}
		turn := make(chan struct{})
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		<-turn
	} else {
		s.running++
		s.mu.Unlock()
	}
	time.Sleep(work)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	} else {
		s.running--
	}
	return true
}

// question answers a question.
func (s *slotted) question(int) string {
	if s.run(0) {
		return says(200, "Target: t\r\n")
	}
	if s.identified {
		return says(503, "Not-Run: 1\r\nTarget: t\r\n")
	}
	return says(503, "Not-Run: 1\r\n")
}

// BenchmarkSoundAnswerWithoutLength measures what the judgement of its end costs a sound answer, at targets in several
// states. Four answers end at a time.
func BenchmarkSoundAnswerWithoutLength(b *testing.B) {
	itself := func(status int, header string) func(int) string {
		return func(int) string { return says(status, "Target: t\r\n"+header) }
	}
	cases := []struct {
		name    string
		answers func(n int) string
		busy    *slotted
		callers int // of the busy target
	}{
		{"idle", itself(200, ""), nil, 0},
		{"leaving", itself(503, "Connection: close\r\n"), nil, 0},
		{"slow, 100 ms", func(int) string { time.Sleep(100 * time.Millisecond); return says(200, "Target: t\r\n") }, nil, 0},
		{"a third of its connections reset", func(n int) string {
			if n%3 == 0 {
				return ""
			}
			return says(200, "Target: t\r\n")
		}, nil, 0},
		{"all slots taken, 6 wait", nil, &slotted{slots: 10, queue: 8, work: 200 * time.Millisecond}, 16},
		{"queue full, rejections without id", nil, &slotted{slots: 10, queue: 8, work: 200 * time.Millisecond}, 40},
		{"queue full, rejections with id", nil, &slotted{slots: 10, queue: 8, work: 200 * time.Millisecond, identified: true}, 40},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			a := &asked{answers: c.answers}
			stop := make(chan struct{})
			defer close(stop)
			if c.busy != nil {
				a.answers = c.busy.question
				c.busy.hold(stop, c.callers)
				time.Sleep(50 * time.Millisecond)
			}
			memory := network.NewMemory(nil)
			a.serve(b, memory)
			pool := forward.NewPool(commontest.New(memory), readMetadata, askWho, nil)
			defer pool.Close()
			var broken atomic.Int64
			began := time.Now()
			var left atomic.Int64
			left.Store(int64(b.N))
			var senders sync.WaitGroup
			for range 4 {
				senders.Go(func() {
					for left.Add(-1) >= 0 {
						if outcome(pool.Send(context.Background(), target, request("r1"))) != "200 yes" {
							broken.Add(1)
						}
					}
				})
			}
			senders.Wait()
			n := float64(b.N)
			b.ReportMetric(float64(time.Since(began).Microseconds())*4/n/1000, "ms/answer")
			b.ReportMetric(float64(a.questions.Load())/n, "questions/answer")
			b.ReportMetric(float64(a.conns.Load())/n, "conns/answer")
			b.ReportMetric(100*float64(broken.Load())/n, "%broken")
		})
	}
}
