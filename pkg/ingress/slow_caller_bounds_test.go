package ingress_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/buffers"
)

// TestPlainAnswerThatCannotFitBreaksNobodyOff has a caller pause while another one gets a plain answer that would not fit
// into the account even alone.
func TestPlainAnswerThatCannotFitBreaksNobodyOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const events, length = 10, 1 << 20
		// A plain answer that grows by a quarter exceeds the total before it has taken the room of two buffers.
		limits := buffers.Limits{Total: 550_000, Exchange: 16 << 10, Bodies: 16 << 10}
		target, plain := &pacedTarget{events: events}, replies(200, "", strings.Repeat("a", length))
		b := newTestbedWithin(t, limits, fakeMeter{}, func(c net.Conn, r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/safe") {
				return plain(c, r)
			}
			return target.script(c, r)
		})
		var all sync.WaitGroup
		all.Go(func() {
			if got := b.callAndPause("/stream/a", 2*time.Second, nil); !got.complete || got.body != bigEvents(events) {
				t.Errorf("the caller that paused has %d bytes, complete %t", len(got.body), got.complete)
			}
		})
		time.Sleep(time.Second)
		if got := b.callAndPause("/safe/a", 0, nil); !got.complete || len(got.body) != length {
			t.Errorf("%d bytes of the plain answer, complete %t", len(got.body), got.complete)
		}
		if u := b.buffers.Usage(); u.Readers != 1 {
			t.Errorf("%+v is held", u)
		}
		all.Wait()
	})
}
