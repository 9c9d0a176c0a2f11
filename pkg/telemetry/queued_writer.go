package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// QueuedWriter passes lines to another writer in one goroutine. Write never
// blocks: when the queue is full, the line is dropped and counted.
type QueuedWriter struct {
	lines    chan []byte
	dropped  atomic.Int64   // lines dropped since run last reported them
	finished sync.WaitGroup // by it Close waits for the end of run
}

// queueCapacity is how many lines may wait, which is about what the sampler lets
// through in two seconds of a flood of log lines.
const queueCapacity = 1024

// NewQueuedWriter returns a writer to out. Close writes the lines that are still
// queued.
func NewQueuedWriter(out io.Writer) *QueuedWriter {
	w := &QueuedWriter{lines: make(chan []byte, queueCapacity)}
	w.finished.Go(func() { w.run(out) })
	return w
}

// Write queues one line or drops it. It always reports success.
func (w *QueuedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines until Close. Before the next line it reports how many were dropped.
func (w *QueuedWriter) run(out io.Writer) {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines left out: the queue was full\",\"lines\":%d}\n", n)
		}
		// An error cannot be reported: this is the log's own output.
		_, _ = out.Write(line)
	}
}

// Close writes the queued lines and returns. Write must not be called after it.
func (w *QueuedWriter) Close() {
	close(w.lines)
	w.finished.Wait()
}
