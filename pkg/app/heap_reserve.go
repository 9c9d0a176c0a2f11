package app

import "runtime"

// heapReserve makes the collector wait until at least so much garbage has
// gathered. Without it, a process with little live memory collects many times a
// second under load. Its pages are never touched, so that the kernel gives it no
// memory.
type heapReserve []byte

const mebibyte = 1 << 20

func newHeapReserve(megabytes int) heapReserve {
	return make(heapReserve, megabytes*mebibyte)
}

// keep holds the reserve up to this call.
func (h heapReserve) keep() {
	runtime.KeepAlive(h)
}
