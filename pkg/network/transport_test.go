package network

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestEndlessAnswerOfServerIsGivenUp guards against servers whose answers fill the memory of those who read them whole.
func TestEndlessAnswerOfServerIsGivenUp(t *testing.T) {
	const (
		address = "10.0.0.7:80"
		most    = 1 << 20 // of a body
		endless = 40 << 20
		piece   = 64 << 10
	)
	cases := []struct {
		name, start string
		length      int // of the body; 0 for no end
		want        string
	}{
		{"a head", "HTTP/1.1 200 OK\r\nA: ", 0, "no answer"},
		{"interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<20), 0, "no answer"},
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", 0, "too long"},
		{"a body of one byte too much", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", most+1), most + 1, "too long"},
		{"a body of the longest that fits", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", most), most, "whole"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nw := NewMemory(nil)
			listener, err := nw.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				n, err := io.WriteString(conn, c.start)
				for body := 0; err == nil && n < endless && (c.length == 0 || body < c.length); {
					var more int
					more, err = conn.Write(make([]byte, min(piece, cmp.Or(c.length, endless)-body)))
					n, body = n+more, body+more
				}
				sent <- n
			}()
			client := &http.Client{Transport: LimitBodies(NewTransport(nw, TransportOptions{}), most)}
			got := "no answer"
			if response, err := client.Get("http://" + address); err == nil {
				body, err := io.ReadAll(response.Body)
				switch _ = response.Body.Close(); {
				case errors.Is(err, ErrBodyTooLong) && len(body) == most:
					got = "too long"
				case err == nil && len(body) == c.length:
					got = "whole"
				default:
					got = fmt.Sprintf("%d bytes, %v", len(body), err)
				}
			}
			client.CloseIdleConnections()
			_ = listener.Close()
			if n := <-sent; got != c.want || n > most+1<<20 {
				t.Errorf("%s, %d bytes sent, want %s", got, n, c.want)
			}
		})
	}
}
