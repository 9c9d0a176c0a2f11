package network

import (
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sys/unix"
)

// Expand implements NowWriter with the size of the socket's send buffer. The kernel goes on sending what it holds after
// the process has ended.
func (w *socketWriter) Expand(n int) error {
	var failed error
	err := w.raw.Control(func(descriptor uintptr) { failed = expandSendBuffer(int(descriptor), n) })
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("expanding the send buffer: %w", err)
	}
	return nil
}

// expandSendBuffer makes room for n bytes more in the send buffer of a socket, which may be full. The kernel wakes a
// waiting writer only if a third of the buffer is free, so that it grows by more than n. It is never made smaller, which the
// kernel would do if the buffer has grown by itself beyond what may be asked for.
func expandSendBuffer(descriptor, n int) error {
	present, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF)
	if err != nil {
		return fmt.Errorf("reading the present size: %w", err)
	}
	size := min(present+n, maxSendBuffer()/kernelFactor)
	if size*kernelFactor <= present {
		return nil
	}
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, size); err != nil {
		return fmt.Errorf("setting the size to %d: %w", size, err)
	}
	return nil
}

// kernelFactor is how many times as much as is asked for the kernel sets a buffer's size to, to allow for its overhead.
const kernelFactor = 2

// maxSendBuffer returns the size of the largest send buffer that the kernel gives a socket of this process, 0 if that is
// not known.
var maxSendBuffer = sync.OnceValue(func() int {
	const beyondAll = 1 << 30
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(descriptor) }()
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF, beyondAll); err != nil {
		return 0
	}
	size, err := unix.GetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_SNDBUF)
	if err != nil {
		return 0
	}
	return size
})
