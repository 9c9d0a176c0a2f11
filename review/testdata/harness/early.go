package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case early.
const (
	earlyEntries = 4 // one of them gets SIGHUP
	earlyEngines = 4
	earlyStreams = 16
	earlyEvery   = 60 * time.Millisecond  // of events
	earlyPause   = 100 * time.Millisecond // between two requests
	earlyWindow  = 4096                   // SO_RCVBUF of the engines' connections
	earlyAfter   = 300 * time.Millisecond // from SIGHUP to the first request; the rule allows config_ms, 2 s
)

// engineMode is how the engines of a play run.
var engineMode = "engine"

// Modes of engines: of engines that begin a stream before they have read the request's body, and of engines that have
// the same small window and read the body first.
const (
	modeEarly = "engine-early"
	modeLate  = "engine-late"
)

// runWindowEngine serves streams on connections with a small receive window, until the process is killed.
func runWindowEngine(id, address string, early bool) int {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, earlyWindow)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &engine{id: id, out: bufio.NewWriter(os.Stdout)}
	e.tell("ready")
	for {
		c, err := listener.Accept()
		if err != nil {
			return 1
		}
		go e.serveWindow(c, early)
	}
}

// serveWindow serves the requests of a connection.
func (e *engine) serveWindow(c net.Conn, early bool) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewReaderSize(c, 1024); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Quaydock-Request-Id")
		if r.Header.Get("X-Quaydock-Expect-Instance") != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Quaydock-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			return
		}
		if !early && !e.readBody(r, id) {
			return
		}
		e.tell("run", id)
		if err := e.writeStream(c, id); err != nil {
			e.tell("left", id, strings.ReplaceAll(err.Error(), " ", "_"))
			return
		}
		e.tell("end", id)
		if early && !e.readBody(r, id) {
			return
		}
	}
}

// readBody reads the rest of a request, and reports whether it is that.
func (e *engine) readBody(r *http.Request, id string) bool {
	body, err := io.ReadAll(r.Body)
	same := err == nil && string(body) == longBody
	e.tell("body", id, strconv.Itoa(len(body)), strconv.FormatBool(same))
	return same
}

// writeStream writes a stream in chunks.
func (e *engine) writeStream(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nX-Quaydock-Request-Id: %s\r\nX-Quaydock-Response-Seal: seal.%s\r\n\r\n", id, e.id)
	for n := 1; n <= eventCount && err == nil; n++ {
		time.Sleep(earlyEvery)
		text := eventText(id, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}

// playEarly sends one entry a SIGHUP and then requests for streams to all, and checks that each at the one gets a whole
// answer. Without the trouble there is no SIGHUP.
func playEarly(p *play) (int, error) {
	p.configure(streamRoute())
	engineMode = modeEarly
	if os.Getenv("CONTROL") != "" {
		engineMode = modeLate
	}
	for n := range earlyEngines {
		s, err := startServer(p.record, n)
		if err != nil {
			return notRun, err
		}
		p.servers = append(p.servers, s)
		p.listEngine(s.id, s.private)
	}
	if err := p.startEntries(earlyEntries); err != nil {
		return notRun, err
	}
	if p.trouble {
		if err := p.hangUp(p.entries[0]); err != nil {
			return notRun, err
		}
	}
	time.Sleep(earlyAfter)
	answers := make([]*answer, earlyStreams)
	var clients sync.WaitGroup
	for i := range earlyStreams {
		clients.Go(func() { answers[i] = p.askLong(i) })
		time.Sleep(earlyPause)
	}
	clients.Wait()
	return p.judgeEarly(answers), nil
}

// hangUp changes the settings file of an entry in a field that it does not know, and sends it SIGHUP.
func (p *play) hangUp(e *entry) error {
	text, err := os.ReadFile(e.settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(text), `"in_tolerance":false`, `"in_tolerance":true`, 1)
	if err := os.WriteFile(e.settings, []byte(changed), 0o600); err != nil {
		return err
	}
	p.record.add("SIGHUP to %s", e.name)
	return e.process.Process.Signal(syscall.SIGHUP)
}

// askLong sends one request with a body of the length of notice-draft.
func (p *play) askLong(i int) *answer {
	c := newClient(p.entries)
	c.body = longBody
	id := fmt.Sprintf("%08x%04d", time.Now().Unix(), i)
	to := p.entries[i%len(p.entries)]
	p.record.add("client %s: sent to %s", id, to.name)
	a := c.send(to, id, "/pufi791/2f", 15*time.Second)
	p.record.add("%v", a)
	return a
}

// judgeEarly counts the requests that the entries have cut. They count only after a SIGHUP: LOST is about planned work.
func (p *play) judgeEarly(answers []*answer) int {
	whole, cut, counted := 0, 0, 0
	for i, a := range answers {
		to := p.entries[i%len(p.entries)]
		switch {
		case a.status == http.StatusOK && a.whole:
			whole++
		case !a.whole:
			cut++
			p.record.say("cut: %s by %s after %d of %d events", a.id, to.name, strings.Count(a.body, "\n\n"), eventCount)
			if p.trouble && to == p.entries[0] {
				counted++
			}
		}
	}
	p.record.say("%d streams: %d whole, %d cut by an entry, %d of these after a SIGHUP of that entry", len(answers), whole, cut, counted)
	switch {
	case counted > 0:
		p.record.say("BROKEN: requests sent within 2 s after a SIGHUP, and passed on to sound engines, were cut")
		return broken
	case whole+cut == 0:
		return notRun
	}
	return held
}
