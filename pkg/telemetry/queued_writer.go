package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// QueuedWriter hands lines to another writer by one goroutine. Whoever writes
// never waits: when the queue is full, the line is left out and counted.
type QueuedWriter struct {
	lines   chan []byte
	left    atomic.Int64
	written sync.WaitGroup
}

// queuedLines is how many lines may wait: about two seconds of a flood that the
// sampler lets through.
const queuedLines = 1024

// NewQueuedWriter returns a writer to out. Close it to have the rest written.
func NewQueuedWriter(out io.Writer) *QueuedWriter {
	w := &QueuedWriter{lines: make(chan []byte, queuedLines)}
	w.written.Go(func() { w.run(out) })
	return w
}

// Write queues one line. It always reports success.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

func (w *QueuedWriter) run(out io.Writer) {
	for line := range w.lines {
		if n := w.left.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines left out: the queue was full\",\"lines\":%d}\n", n)
		}
		// Nobody is left to tell if standard output is gone.
		_, _ = out.Write(line)
	}
}

// Close writes what is queued. Nothing may be written after it.
func (w *QueuedWriter) Close() {
	close(w.lines)
	w.written.Wait()
}
