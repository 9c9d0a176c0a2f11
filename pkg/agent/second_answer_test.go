package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"quaydock/pkg/ids"
)

// TestSecondAnswerReachesNoOtherCaller guards against a caller who gets the answer to another one's request, which its target
// sends a second time in the place of the next one.
func TestSecondAnswerReachesNoOtherCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := clientOf(t, func(c net.Conn, _ net.Listener) { answerTwice(c) })
		for _, id := range []ids.Request{"r1", "r2", "r3"} {
			log := newAnswerLog(1 << 20)
			if err := client.run(context.Background(), call{request: id, method: http.MethodPost, path: "/", header: make(http.Header)}, log); err != nil {
				t.Errorf("%s: %v", id, err)
			}
			if got := string(log.data); got != string(id) {
				t.Errorf("%s got the answer of %s", id, got)
			}
		}
	})
}

// answerTwice answers the requests of a connection with their ids. Each answer comes once more, before that to the next
// request on the connection.
func answerTwice(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for second := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(headerTargetRequest)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(c, second+answer); err != nil {
			return
		}
		second = answer
	}
}
