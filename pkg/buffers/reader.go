package buffers

import "quaydock/pkg/clock"

// Reader is a caller for whom a part of an answer may be held. The lock of its account guards it.
type Reader struct {
	// BreakOff breaks its answer off; it is called without a lock.
	BreakOff func(End)

	held        int          // bytes
	takenAt     clock.Millis // when it last took bytes, or began to wait
	behindSince clock.Millis // since when there have always been bytes that it has not taken
	dropped     bool
	end         End
}

// ReaderState is the state of a reader at a moment.
type ReaderState struct {
	Held    int          `json:"held_bytes"` // that it has not taken
	Untaken clock.Millis `json:"untaken_ms"` // how long it has taken nothing
	Behind  clock.Millis `json:"behind_ms"`  // how long it has not taken all that was there for it
}

// End is the state of a reader whose answer is broken off.
type End struct {
	ReaderState
	Total int // bytes in the whole account
}

// state returns the state of a reader.
func (r *Reader) state(now clock.Millis) ReaderState {
	return ReaderState{Held: r.held, Untaken: now - r.takenAt, Behind: now - r.behindSince}
}

// slowness ranks readers: the one with the highest is broken off first. It is the product of the bytes held and the time
// for which the reader has been behind. Neither a short pause in a large answer nor a long one in a small answer is
// worth breaking it off, and taking a little now and then does not help a caller that stays behind.
func (r *Reader) slowness(now clock.Millis) int {
	return r.held * int(now-r.behindSince+1)
}

// BreakOff breaks off the answers of readers that an account has dropped.
func BreakOff(dropped []*Reader) {
	for _, r := range dropped {
		r.BreakOff(r.end)
	}
}
