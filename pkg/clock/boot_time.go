package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stepThreshold is by how much the time of day must have moved against the monotonic clock for the boot-time
	// clock to be read at once. Slewing moves the time of day by less than a millisecond in a second.
	stepThreshold = 20 * time.Millisecond
	// checkInterval is how often the boot-time clock is read in any case, since the time of day may have been
	// set back by as much as the VM was suspended. It takes two system calls, which is too much to do for
	// each reading of the clock.
	checkInterval = time.Second
	// minSuspension is the shortest suspension that is counted. The two clocks are read one after the
	// other, and a smaller difference may come from the time between the two readings.
	minSuspension = 5 * time.Millisecond
)

// bootTime measures suspensions with a clock that runs on during them.
type bootTime struct {
	// read returns by how much that clock is ahead of the monotonic one.
	read      func() (time.Duration, error)
	initial   time.Duration // result of read when the clock was created
	total     atomic.Int64  // time suspended since the clock was created, in ns
	lastGap   atomic.Int64  // time of day less monotonic clock at the last check, in ns
	lastCheck atomic.Int64  // time of the last check by the monotonic clock, in ns
}

// newBootTime returns a bootTime that counts suspensions from now on.
func newBootTime(read func() (time.Duration, error)) *bootTime {
	b := &bootTime{read: read}
	if ahead, err := read(); err == nil {
		b.initial = ahead
	}
	return b
}

// since returns the time suspended since the clock was created. It checks the boot-time clock only after a step of the
// time of day, or once in checkInterval. It has no lock: two callers may check at once.
func (b *bootTime) since(wall, monotonic time.Duration) time.Duration {
	gap := wall - monotonic
	if (gap-time.Duration(b.lastGap.Load())).Abs() > stepThreshold || monotonic-time.Duration(b.lastCheck.Load()) > checkInterval {
		b.lastGap.Store(int64(gap))
		b.lastCheck.Store(int64(monotonic))
		b.check()
	}
	return time.Duration(b.total.Load())
}

// check reads the clocks and raises total, which is never lowered. On a system without a boot-time clock no suspension
// is counted.
func (b *bootTime) check() {
	ahead, err := b.read()
	if err != nil {
		return
	}
	for now := int64(ahead - b.initial); ; {
		known := b.total.Load()
		if now-known < int64(minSuspension) || b.total.CompareAndSwap(known, now) {
			return
		}
	}
}

// readBootTime returns for how long the VM has been suspended since it was booted.
func readBootTime() (time.Duration, error) {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}

// Suspension simulates the suspensions of a VM in tests.
type Suspension struct{ total atomic.Int64 } // in ns

// NewSuspendable returns a clock for tests, and the Suspension that moves it ahead of the monotonic clock.
func NewSuspendable() (Clock, *Suspension) {
	s := &Suspension{}
	return Clock{start: time.Now(), suspended: s}, s
}

// Add simulates a suspension of the given length.
func (s *Suspension) Add(length Millis) { s.total.Add(int64(length.Duration())) }

// since returns the sum of the simulated suspensions, whatever the clocks show.
func (s *Suspension) since(time.Duration, time.Duration) time.Duration {
	return time.Duration(s.total.Load())
}
