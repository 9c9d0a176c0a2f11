package app

import "runtime"

// heapReserve is an unused allocation that makes the garbage collector wait until at
// least its size in garbage has accumulated. Without it, a process with little live memory
// collects many times a second under load. Its pages are never touched, so that the kernel
// assigns no memory to them.
type heapReserve []byte

const mebibyte = 1 << 20 // in bytes

// newHeapReserve allocates a reserve of so many MiB; with 0 it has no effect.
func newHeapReserve(megabytes int) heapReserve {
	return make(heapReserve, megabytes*mebibyte)
}

// keep keeps the reserve reachable up to this call.
func (h heapReserve) keep() {
	runtime.KeepAlive(h)
}
