package ingress_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"quaydock/pkg/commontest"
	"quaydock/pkg/descriptors"
	"quaydock/pkg/ingress"
	"quaydock/pkg/network"
)

// shareBed is a server whose callers may hold two connections, and whose handler serves for as
// long as it is told to.
type shareBed struct {
	server *ingress.Server
	reach  *network.Memory
	serves time.Duration
}

func newShareBed(t *testing.T, serves time.Duration) *shareBed {
	b := &shareBed{reach: network.NewMemory(nil), serves: serves}
	b.server = ingress.NewServer(commontest.New(b.reach), ingress.Handlers{
		Serve: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(b.serves)
			_, _ = io.WriteString(w, "yes")
		}),
		Reject: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }),
	}, descriptors.Limits{Callers: 2, Rejecting: 1})
	listener, err := b.reach.Listen(serverAt)
	if err != nil {
		t.Fatal(err)
	}
	go b.server.Serve(listener)
	t.Cleanup(func() {
		if err := b.server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	})
	synctest.Wait()
	return b
}

func TestTheConnectionThatHasRestedLongestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newShareBed(t, 0)
		var callers []net.Conn
		for range 3 {
			c := dial(t, b.reach)
			if got := ask(c, 0); got != http.StatusOK {
				t.Fatalf("status %d", got)
			}
			callers = append(callers, c)
			time.Sleep(time.Millisecond)
		}
		for i, want := range []int{0, http.StatusOK, http.StatusOK} {
			if got := ask(callers[i], 0); got != want {
				t.Errorf("caller %d at rest: status %d, want %d", i, got, want)
			}
		}
		if taken, turned := b.server.Connections(); taken != 2 || turned != 0 {
			t.Errorf("%d connections, %d turned away", taken, turned)
		}
	})
}

func TestCallersBeyondTheShareAreToldToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newShareBed(t, 3*time.Second)
		answers := make(chan int, 2)
		for range 2 {
			c := dial(t, b.reach)
			go func() { answers <- ask(c, 0) }()
		}
		synctest.Wait()
		silent := dial(t, b.reach) // it holds the one place of those who are turned away
		synctest.Wait()
		began := time.Now()
		if got := ask(dial(t, b.reach), 0); got != http.StatusServiceUnavailable {
			t.Errorf("beyond the share: status %d", got)
		}
		if took := time.Since(began); took > 1100*time.Millisecond {
			t.Errorf("told after %v", took)
		}
		for range 2 {
			if got := <-answers; got != http.StatusOK {
				t.Errorf("within the share: status %d", got)
			}
		}
		synctest.Wait() // until their connections rest
		if got := ask(silent, 0); got != 0 {
			t.Errorf("one that said nothing for a second: status %d", got)
		}
		if got := ask(dial(t, b.reach), 0); got != http.StatusOK {
			t.Errorf("when the share has room again: status %d", got)
		}
	})
}
