package network

import "net"

// receiveBuffer is the size in bytes of the kernel's buffer for what a connection has received and nobody has read. It is
// what the kernel gives a new connection; it lets 6 MB a second through where the peer is 10 ms away.
const receiveBuffer = 64 << 10

// LimitReceiveBuffer keeps the kernel from making the receive buffer of a connection larger than that of a new one. It does
// nothing for a connection that is not of the kernel.
func LimitReceiveBuffer(c net.Conn) {
	if kernel, ok := c.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = kernel.SetReadBuffer(receiveBuffer) // an error means that it is closed already
	}
}
