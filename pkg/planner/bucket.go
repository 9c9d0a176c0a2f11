package planner

import "quaydock/pkg/clock"

// tokenBucket limits the rate of grants to one target.
type tokenBucket struct {
	tokens    float64      // each permits one grant
	updatedAt clock.Millis // time up to which it was refilled
}

// newTokenBucket returns an empty bucket: what the target was granted before, here or by an earlier owner, is not
// known.
func newTokenBucket(now clock.Millis) *tokenBucket { return &tokenBucket{updatedAt: now} }

// hasToken refills the bucket up to now, to at most the given number of tokens, and reports whether it holds one.
func (b *tokenBucket) hasToken(now clock.Millis, perSecond, burst float64) bool {
	b.tokens = min(burst, b.tokens+float64(now-b.updatedAt)*perSecond/float64(clock.Second))
	b.updatedAt = now
	return b.tokens >= 1
}

// take removes the token that hasToken has reported; a nil bucket is unlimited.
func (b *tokenBucket) take() {
	if b != nil {
		b.tokens--
	}
}
