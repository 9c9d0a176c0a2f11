package app

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLossOfADomainQuarantinesNoPopularRequest guards against the quarantine of a popular request when the targets of a
// failure domain are lost within some ms of one another. The request was broken off with the first target and ran again
// at once, as an exclusive run, on another target of the domain, which ended under it as well. That counted as the
// second end, in an exclusive run, and all callers of the request were rejected for five seconds. The log confirmed the
// cause: each series in which the request was quarantined, and no other, has such an end 0 ms after the start of its
// run, at the time of the loss.
func TestLossOfADomainQuarantinesNoPopularRequest(t *testing.T) {
	const (
		length  = 2500 * time.Millisecond
		series  = 6 // seeds for each scenario
		popular = "popular"
	)
	scenarios := []struct {
		name string
		// between is the time from one to the next of six target ends.
		between time.Duration
	}{
		{"at the same time", 0}, {"within 5 ms", time.Millisecond}, {"within 20 ms", 4 * time.Millisecond}, {"within 60 ms", 12 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(series) {
				synctest.Test(t, func(t *testing.T) {
					b := newCrashBed(t, 1+seed, 3)
					b.longRuns = true
					go func() {
						time.Sleep(time.Second)
						for n := 0; n < len(b.engines); n += 2 {
							b.engine(n).crash()
							time.Sleep(s.between)
						}
					}()
					b.backgroundCallers(240, length, func() string {
						if b.draw(2) == 0 {
							return popular
						}
						return b.uniqueBody()
					})
					quarantined, _ := b.quarantined()
					t.Logf("%d of %d requests rejected as quarantined; served %.3f", quarantined, len(b.backgroundCalls), b.servedFraction(0, length))
					if quarantined > 0 {
						t.Errorf("seed %d: the popular request was quarantined", 1+seed)
					}
				})
			}
		})
	}
}
