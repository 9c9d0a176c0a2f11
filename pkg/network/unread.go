package network

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unreadCheck is the time between two checks of HoldWhileUnread.
const unreadCheck = 250 * time.Millisecond

// HoldWhileUnread keeps a connection of TCP open while its peer is alive but takes no more bytes, as one that answers
// before it reads the rest of a long request. The kernel's user timeout counts from when the peer stopped taking bytes;
// here it is extended to count from when the peer last acknowledged anything, so that a peer that is gone is detected as
// soon as otherwise. HoldWhileUnread returns once all bytes are acknowledged and written is closed, or conn is closed.
// It does nothing for a connection that is not of the kernel.
func HoldWhileUnread(conn net.Conn, written <-chan struct{}) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	h := unreadHold{written: written, stuckSince: time.Now()}
	for held := true; held; {
		time.Sleep(unreadCheck)
		if err := raw.Control(func(descriptor uintptr) { held = h.check(int(descriptor), time.Now()) }); err != nil {
			return // it is closed
		}
	}
}

// unreadHold is the state of HoldWhileUnread.
type unreadHold struct {
	written    <-chan struct{}
	acked      uint64    // bytes that the peer had acknowledged at the last check
	stuckSince time.Time // a moment up to unreadCheck before the peer stopped taking bytes
	checked    time.Time // the last check
}

// check extends the user timeout of a socket, and returns false if that is not needed any more.
func (h *unreadHold) check(descriptor int, now time.Time) bool {
	written := false
	select {
	case <-h.written:
		written = true
	default:
	}
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	outstanding := info.Unacked > 0 || info.Notsent_bytes > 0
	if info.Bytes_acked != h.acked && !h.checked.IsZero() {
		h.stuckSince = h.checked
	}
	h.acked, h.checked = info.Bytes_acked, now
	timeout := userTimeout
	if outstanding {
		silence := time.Duration(info.Last_ack_recv) * time.Millisecond
		timeout = extendedTimeout(now.Sub(h.stuckSince), silence)
	}
	err = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	return err == nil && (outstanding || !written)
}

// extendedTimeout returns the user timeout of a connection whose peer has taken no bytes for a time, and has been silent
// for a part of it.
func extendedTimeout(stuck, silence time.Duration) time.Duration {
	return max(userTimeout, stuck-silence+userTimeout)
}
