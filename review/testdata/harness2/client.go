package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// client is a stand-in of a client with one kept connection, made anew when it ends.
type client struct {
	bed     *bed
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

var lastID atomic.Int64

// call is one try of a request.
type call struct {
	method, path, key, body string
	tokens                  int // 0 for none
	deadline                time.Duration
}

// reply is what a client got.
type reply struct {
	id     string
	sentAt time.Time
	status int // 0 if there was no whole answer
	header http.Header
	body   string
	err    error
}

// do sends a call under a new id and waits for the answer until the deadline.
func (c *client) do(q call) reply {
	r := reply{id: fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1))}
	if c.conn == nil {
		var err error
		if c.conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
			r.err = err
			return r
		}
		c.reader = bufio.NewReader(c.conn)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nX-Quaydock-Request-Id: %s\r\nX-Quaydock-Deadline-Ms: %d\r\n", q.method, q.path, r.id, q.deadline.Milliseconds())
	if q.key != "" {
		head += "Authorization: Token " + q.key + "\r\n"
	}
	if q.tokens > 0 {
		head += fmt.Sprintf("X-Quaydock-Token-Count: %d,0\r\n", q.tokens)
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(q.deadline))
	c.bed.record.detail(r.id, "client sends %s to %s: %s %s, key %q", r.id, c.address, q.method, q.path, q.key)
	if _, r.err = io.WriteString(c.conn, head+"\r\n"+q.body); r.err == nil {
		r.read(c.reader, q.method)
	}
	if r.err != nil {
		c.bed.record.detail(r.id, "client gets no whole answer to %s: %v", r.id, r.err)
		c.close()
		return r
	}
	c.bed.record.detail(r.id, "client gets %d to %s, seal %q, id %q, body %.60q", r.status, r.id, r.header.Get("X-Quaydock-Response-Seal"), r.header.Get("X-Quaydock-Request-Id"), r.body)
	if r.header.Get("Connection") == "close" {
		c.close()
	}
	return r
}

// read reads a whole answer.
func (r *reply) read(from *bufio.Reader, method string) {
	answer, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		r.err = err
		return
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.header, r.body = answer.StatusCode, answer.Header, string(body)
	if answer.Close {
		r.header.Set("Connection", "close")
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
