package main

import (
	"net"
	"sync"
	"time"
)

// link is the network between the entries and one engine. Listening at the engine's address, it passes bytes on
// unchanged. While it is cut it passes nothing on, in either direction, and neither ends nor makes connections; what was
// under way arrives afterwards, as with TCP.
type link struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	healed chan struct{} // closed unless the link is cut
}

// newLink starts a link that listens at one address and leads to another.
func newLink(at, to string) (*link, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

// cut cuts the link, and heal heals it.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// await waits until the link is not cut.
func (l *link) await() {
	for {
		l.mu.Lock()
		healed := l.healed
		l.mu.Unlock()
		<-healed
		l.mu.Lock()
		same := healed == l.healed
		l.mu.Unlock()
		if same {
			return
		}
	}
}

// accept joins each connection with one to the engine.
func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(c.(*net.TCPConn))
	}
}

// join passes bytes between two connections until both directions have ended. An engine that refuses a connection has
// it reset.
func (l *link) join(c *net.TCPConn) {
	l.await()
	d, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	e := d.(*net.TCPConn)
	var both sync.WaitGroup
	both.Add(2)
	go l.pass(c, e, &both)
	go l.pass(e, c, &both)
	both.Wait()
	_ = c.Close()
	_ = e.Close()
}

// pass passes bytes on in one direction, and then its end: an orderly one as such, any other as a reset.
func (l *link) pass(from, to *net.TCPConn, both *sync.WaitGroup) {
	defer both.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
			return
		}
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
}
