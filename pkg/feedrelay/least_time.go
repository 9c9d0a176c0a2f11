package feedrelay

import (
	"context"
	"errors"
	"time"

	"quaydock/pkg/clock"
)

// withLeastTime returns a context that ends as ctx does, but by its deadline no sooner than after a least time. A call to
// the store must not be cut by what is left of another wait: it would count as a store that does not answer.
func withLeastTime(ctx context.Context, least clock.Millis) (context.Context, context.CancelFunc) {
	end, limited := ctx.Deadline()
	if !limited || time.Until(end) >= least.Duration() {
		return context.WithCancel(ctx)
	}
	longer, cancel := context.WithTimeout(context.WithoutCancel(ctx), least.Duration())
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return longer, func() {
		stop()
		cancel()
	}
}
