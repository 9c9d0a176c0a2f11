package ingress

import "net"

// BufferedListener wraps the connections of a listener as Server does.
type BufferedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l BufferedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newBufferedConn(c), nil
}

// SentPath is exported for tests.
var SentPath = sentPath
