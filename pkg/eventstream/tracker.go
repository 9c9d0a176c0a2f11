package eventstream

import "bytes"

// maxKept is how much of an event Tracker keeps, in bytes.
const maxKept = 64

// Tracker follows a stream whose bytes are passed on as they come, whatever the length of its events. The zero value is
// at the beginning of a stream. It is not safe for concurrent use.
type Tracker struct {
	begun    bool   // a byte behind the byte order mark has come
	mark     int    // until then, how many bytes of the byte order mark have
	afterCR  bool   // the last line ended with a CR, and an LF that follows it belongs to it
	midLine  bool   // the present line has begun
	comment  bool   // the present line is a comment
	fields   bool   // the present event has a field
	present  []byte // the beginning of the present event, up to maxKept
	complete []byte // the beginning of the last complete event with a field
}

// Add follows the next bytes of the stream.
func (t *Tracker) Add(p []byte) {
	if !t.begun {
		p = t.skipMark(p)
	}
	for len(p) > 0 {
		if t.afterCR && p[0] == '\n' {
			p = p[1:]
		}
		t.afterCR = false
		n, ended := lineLength(p)
		t.addToLine(bytes.TrimRight(p[:n], "\r\n"))
		if ended {
			t.afterCR = n == len(p) && p[n-1] == '\r'
			t.endLine()
		}
		p = p[n:]
	}
}

// skipMark returns what follows the byte order mark, if the stream begins with one.
func (t *Tracker) skipMark(p []byte) []byte {
	for len(p) > 0 && t.mark < len(byteOrderMark) && p[0] == byteOrderMark[t.mark] {
		t.mark++
		p = p[1:]
	}
	t.begun = len(p) > 0
	if t.begun && t.mark < len(byteOrderMark) {
		t.addToLine(byteOrderMark[:t.mark]) // it was none
	}
	return p
}

// addToLine adds a part of the present line, without its end.
func (t *Tracker) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if !t.midLine {
		t.midLine = true
		t.comment = part[0] == ':'
		t.fields = t.fields || !t.comment
	}
	if !t.comment {
		t.keep(part)
	}
}

// endLine ends the present line, and the present event if the line is empty.
func (t *Tracker) endLine() {
	if t.midLine {
		t.midLine = false
		if !t.comment {
			t.keep([]byte{'\n'})
		}
		return
	}
	if t.fields {
		t.complete = append(t.complete[:0], t.present...)
	}
	t.fields, t.present = false, t.present[:0]
}

// keep appends to the present event, up to maxKept.
func (t *Tracker) keep(part []byte) {
	t.present = append(t.present, part[:min(len(part), maxKept-len(t.present))]...)
}

// InsideEvent reports whether the stream would be broken off if it ended here.
func (t *Tracker) InsideEvent() bool { return t.midLine || t.fields || !t.begun && t.mark > 0 }

// LastEvent returns the beginning of the last complete event, its comments left out and its lines ended with LF. It is
// valid until the next Add.
func (t *Tracker) LastEvent() []byte { return t.complete }
