package planner

import "quaydock/pkg/clock"

// bucket is what one target may still get of a rate that is set for it.
type bucket struct {
	level float64
	at    clock.Millis
}

// newBucket returns an empty one: what the target was given before, here or by an earlier home, is not known.
func newBucket(now clock.Millis) *bucket { return &bucket{at: now} }

// bears brings the bucket up to now and reports whether it has room for a job. It saves up most jobs.
func (b *bucket) bears(now clock.Millis, perSecond, most float64) bool {
	b.level = min(most, b.level+float64(now-b.at)*perSecond/float64(clock.Second))
	b.at = now
	return b.level >= 1
}

// spend notes that a job was given; a nil bucket bounds nothing.
func (b *bucket) spend() {
	if b != nil {
		b.level--
	}
}
