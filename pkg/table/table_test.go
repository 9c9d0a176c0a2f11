package table_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
	"quaydock/pkg/table"
)

const tableAt = "10.0.0.1:80"

// TestATableThatIsClosedIsNotCalled: what goes on in the background when an entry ends, as the freeing
// of a claim, read the table once more and kept a connection that nobody would close.
func TestATableThatIsClosedIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reach := network.NewMemory(nil)
		listener, err := reach.Listen(tableAt)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"key":"k","version":1,"value":{}}`)
		})}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Shutdown(context.Background()) }()
		c := table.NewTable(reach, "http://"+tableAt, clock.Second)
		if _, err := c.Read(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
		c.Close()
		if _, err := c.Read(context.Background(), "k"); err == nil {
			t.Error("read after the table was closed")
		}
	})
}
