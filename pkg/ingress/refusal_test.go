package ingress

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"quaydock/pkg/clock"
	"quaydock/pkg/commontest"
	"quaydock/pkg/network"
)

// TestRefusalOfCallerThatIsGone compares a caller whose connection is seen to have ended with one that can't be written
// to. They differ only at the deadline of the route, at which a caller of the second kind may still be there.
func TestRefusalOfCallerThatIsGone(t *testing.T) {
	const noTime, over, left = clock.Millis(0), clock.Second, clock.Minute // of the caller
	cases := []struct {
		name         string
		cause        error // of the end of the request; nil if it has not ended
		callersTime  clock.Millis
		gone, unread Cause
		status       int // of unread
	}{
		{"the request goes on", nil, noTime, CauseLeft, CauseLeft, 0},
		{"the caller leaves", context.Canceled, left, CauseLeft, CauseLeft, 0},
		{"the caller leaves once its time is over", context.Canceled, over, CauseDeadline, CauseDeadline, http.StatusGatewayTimeout},
		{"the caller's time is over", errDeadline, over, CauseDeadline, CauseDeadline, http.StatusGatewayTimeout},
		{"the route's time is over", errDeadline, noTime, CauseLeft, CauseDeadline, http.StatusGatewayTimeout},
		{"the route's time is over before the caller's", errDeadline, left, CauseLeft, CauseDeadline, http.StatusGatewayTimeout},
		{"the entry ends", errEnded, over, CauseLeaving, CauseLeaving, http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &delivery{Common: commontest.New(network.NewMemory(nil))}
			q := &request{arrived: d.Clock.Now() - 2*clock.Second, sent: 1}
			q.Deadline = c.callersTime
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if c.cause != nil {
				cancel(c.cause)
			}
			failed := errors.New("broken pipe")
			if got := d.finalRefusal(ctx, q, &Refusal{Cause: CauseLeft, Err: failed}); got.Cause != c.gone || !errors.Is(got.Err, failed) {
				t.Errorf("seen to have ended: %+v, want %v", got, c.gone)
			}
			if got := d.unreadRefusal(ctx, q, failed); got.Cause != c.unread || got.Status != c.status || !errors.Is(got.Err, failed) {
				t.Errorf("not written to: %+v, want %v with status %d", got, c.unread, c.status)
			}
		})
	}
}
