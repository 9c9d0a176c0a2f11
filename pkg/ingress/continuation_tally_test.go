package ingress

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"quaydock/pkg/commontest"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
)

// TestBurstOfContinuationsIsSummed guards against bursts of streams that go on of which only the first lines are left.
func TestBurstOfContinuationsIsSummed(t *testing.T) {
	cases := []struct {
		name  string
		kinds int
		lines int
	}{
		{"one kind", 1, 1},
		{"as many kinds as are told apart", maxContinuations, maxContinuations},
		{"more", maxContinuations + 5, maxContinuations + 1},
	}
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := commontest.New(network.NewMemory(nil))
				logs := logtest.NewLocal(c.Log.Logger)
				tally := newContinuationTally(c)
				for second := range 2 {
					const each = 3
					for n := range s.kinds * each {
						tally.add(continuation{service: "s", began: "v1", version: ids.Version(fmt.Sprint("v", n%s.kinds)), after: "break"})
					}
					time.Sleep(2 * time.Second)
					sum := 0
					for _, line := range logs.AllEntries() {
						sum += line.Data["streams"].(int)
					}
					if lines := len(logs.AllEntries()); lines != s.lines || sum != s.kinds*each {
						t.Errorf("second %d: %d lines, %d streams", second, lines, sum)
					}
					logs.Reset()
				}
			})
		})
	}
}
