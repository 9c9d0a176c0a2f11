package rollout_test

import "quaydock/pkg/clock"

// int64ToMillis converts a number to the clock's type.
func int64ToMillis[N ~int64](n N) clock.Millis { return clock.Millis(n) }
