package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// sendsEvents sends the given events, whatever it is told that the caller has, and ends the stream in good order.
func sendsEvents(list func(last string) []string) scriptedTarget {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, text := range list(r.Header.Get("Last")) {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// sendsIDs sends events with the given ids.
func sendsIDs(ids ...int) scriptedTarget {
	return sendsEvents(func(string) []string {
		var list []string
		for _, n := range ids {
			list = append(list, events(n)[n-1])
		}
		return list
	})
}

// sendsFrom sends the events from one to another.
func sendsFrom(first, last int) scriptedTarget {
	return sendsEvents(func(string) []string { return events(last)[first-1:] })
}
