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

// tableAt is the address of the table service.
const tableAt = "10.0.0.1:80"

// TestClosedTableIsNotCalled guards against connections that are never closed: work in the background
// while an entry ends, such as the release of a claim, read the table once more after it was closed.
func TestClosedTableIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.NewMemory(nil)
		listener, err := memory.Listen(tableAt)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"key":"k","version":1,"value":{}}`)
		})}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Shutdown(context.Background()) }()
		c := table.NewTable(memory, "http://"+tableAt, clock.Second)
		if _, err := c.Read(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
		c.Close()
		if _, err := c.Read(context.Background(), "k"); err == nil {
			t.Error("read succeeded after the table was closed")
		}
	})
}
