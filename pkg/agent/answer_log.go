package agent

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// errBrokenOff ends an answer that broke off.
var errBrokenOff = errors.ConstError("the answer broke off")

// errGone means that the requested bytes are no longer kept, or that the reader is no longer the log's reader.
var errGone = errors.ConstError("the requested bytes of the answer are no longer kept")

// answerLog holds the newest part of one answer between the target, which writes, and the entry, which reads and
// may return after a broken connection. The writer waits when the reader is too far behind, so that a slow caller
// holds no more memory than the limit.
type answerLog struct {
	limit int64 // for data, in bytes

	mu            sync.Mutex
	changed       sync.Cond   // broadcast after each change that a reader or the writer may wait for
	status        int         // 0 before the target's header
	contentLength int64       // the Content-Length, or -1
	header        http.Header // of the target's answer
	data          []byte      // bytes from offset start on
	start         int64       // offset in the answer
	read          int64       // the offset up to which bytes have been handed to readers
	done          bool        // the answer is complete or has broken off
	failure       error       // set if done and the answer is incomplete
	delivered     bool        // a reader has received the end of the complete answer
	reader        int         // number of the newest reader; a newer reader replaces the previous one
	reading       bool        // the newest reader has not left
	departures    int         // how many readers have left without a newer one in their place
}

func newAnswerLog(limit int64) *answerLog {
	l := &answerLog{limit: limit}
	l.changed.L = &l.mu
	return l
}

// begin stores the status and header of the target's answer.
func (l *answerLog) begin(status int, header http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status = status
	l.contentLength = contentLength(header)
	l.header = header
	l.changed.Broadcast()
}

// contentLength returns the length of the body by its header, or -1.
func contentLength(header http.Header) int64 {
	n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// append adds bytes, after waiting for a reader that is behind: unread bytes take no more than half of the limit, so
// that the other half is left for bytes that a resume may request again. It returns errBrokenOff if the log was ended
// meanwhile.
func (l *answerLog) append(p []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.done && l.unread()+int64(len(p)) > l.limit/2 && l.unread() > 0 {
		l.changed.Wait()
	}
	if l.done {
		return errBrokenOff
	}
	l.data = append(l.data, p...)
	l.trim()
	l.changed.Broadcast()
	return nil
}

// size returns the length of the answer so far, including what has been dropped. The lock must be held.
func (l *answerLog) size() int64 {
	return l.start + int64(len(l.data))
}

// unread returns how many bytes no reader has been handed. The lock must be held.
func (l *answerLog) unread() int64 {
	return l.size() - l.read
}

// trim drops the oldest bytes above the limit that have been read. The lock must be held.
func (l *answerLog) trim() {
	surplus := min(int64(len(l.data))-l.limit, l.read-l.start)
	if surplus <= 0 {
		return
	}
	l.data = append(l.data[:0], l.data[surplus:]...)
	l.start += surplus
}

// end closes the log; a nil failure means that the answer is complete. Only the first call counts.
func (l *answerLog) end(failure error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.failure = failure
	l.changed.Broadcast()
}

// attach makes the caller the log's reader, in place of an earlier one, and returns its number.
func (l *answerLog) attach() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reader++
	l.reading = true
	l.changed.Broadcast()
	return l.reader
}

// detach ends a reader. It returns how often the log has been left without one, and whether it has none now.
func (l *answerLog) detach(reader int) (departures int, without bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader == reader {
		l.readerLeft()
	}
	l.changed.Broadcast()
	return l.departures, !l.reading
}

// readerLeft records that the reader has left. The lock must be held.
func (l *answerLog) readerLeft() {
	if l.reading {
		l.reading = false
		l.departures++
	}
}

// abandoned reports whether the log has been without a reader since detach returned this number of departures.
func (l *answerLog) abandoned(departures int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.reading && l.departures == departures
}

// awaitHeader waits for the status and header of the target's answer. It returns the failure if the answer ended
// without them, and errGone if the reader was replaced or interrupted.
func (l *answerLog) awaitHeader(reader int) (int, http.Header, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.status == 0 && !l.done && l.reader == reader {
		l.changed.Wait()
	}
	switch {
	case l.reader != reader:
		return 0, nil, errGone
	case l.status == 0:
		return 0, nil, l.failure
	default:
		return l.status, l.header, nil
	}
}

// next copies bytes from offset on into p, after waiting for some. Drained means that more bytes will come, but
// none are there yet. It returns io.EOF at the end of a complete answer, the failure at the end of any other, and
// errGone if the bytes are no longer kept or the reader was replaced or interrupted.
func (l *answerLog) next(reader int, offset int64, p []byte) (n int, drained bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.reader == reader && offset == l.size() && !l.done {
		l.changed.Wait()
	}
	switch {
	case l.reader != reader || offset < l.start || offset > l.size():
		return 0, false, errGone
	case offset < l.size():
		n := copy(p, l.data[offset-l.start:])
		l.read = max(l.read, offset+int64(n))
		l.changed.Broadcast()
		// Once the Content-Length is reached the end follows at once, and is better sent with the last bytes.
		return n, !l.done && l.read == l.size() && l.size() != l.contentLength, nil
	case l.failure != nil:
		return 0, false, l.failure
	default:
		l.delivered = true
		return 0, false, io.EOF
	}
}

// undelivered reports whether the answer is or may become complete, and no reader has received its end.
func (l *answerLog) undelivered() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure == nil && !l.delivered
}

// hasReader reports whether a reader is attached.
func (l *answerLog) hasReader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reading
}

// resumable reports whether a reader that has offset bytes can still get the complete answer, as far as is known
// now.
func (l *answerLog) resumable(offset int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return offset >= l.start && offset <= l.size() && (!l.done || l.failure == nil)
}

// interrupt ends a reader whose connection has ended, so that it stops waiting. Its number is no longer that of the
// newest reader, as if another one had attached.
func (l *answerLog) interrupt(reader int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader == reader {
		l.reader++
		l.readerLeft()
	}
	l.changed.Broadcast()
}

// memory returns how many bytes of memory the log holds for the answer's body.
func (l *answerLog) memory() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(cap(l.data))
}

// hasMore reports whether there are bytes beyond offset, or the answer has ended.
func (l *answerLog) hasMore(offset int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done || l.size() > offset
}

// ended reports whether the answer is complete or has broken off.
func (l *answerLog) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}
