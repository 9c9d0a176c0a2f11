package eventstream_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"quaydock/pkg/eventstream"
)

// read returns all events of a stream, and the error and the bytes with which it ended.
func read(from io.Reader) (events []eventstream.Event, left string, err error) {
	r := eventstream.NewReader(from)
	for {
		e, err := r.Next()
		if err != nil {
			return events, string(e.Raw), err
		}
		events = append(events, e)
	}
}

// TestStreamThatEndsInsideEventIsNotWhole guards against a torn event that is taken for the end of a stream.
func TestStreamThatEndsInsideEventIsNotWhole(t *testing.T) {
	cases := []struct {
		name, text string
		events     int
		left       string
		want       error
	}{
		{"whole", "id: 1\ndata: a\n\n", 1, "", io.EOF},
		{"nothing", "", 0, "", io.EOF},
		{"an empty line only", "\n", 1, "", io.EOF},
		{"a comment behind the last event", "data: a\n\n: end\n", 1, ": end\n", io.EOF},
		{"a torn comment", "data: a\n\n: en", 1, ": en", eventstream.ErrInsideEvent},
		{"one line end behind the last line", "id: 1\ndata: a\n", 0, "id: 1\ndata: a\n", eventstream.ErrInsideEvent},
		{"inside an id", "id: 11\n\nid: 1", 1, "id: 1", eventstream.ErrInsideEvent},
		{"a comment and a field", ": c\ndata: a\n", 0, ": c\ndata: a\n", eventstream.ErrInsideEvent},
		{"CR LF", "id: 1\r\ndata: a\r\n\r\n", 1, "", io.EOF},
		{"CR LF, torn in the last line end", "id: 1\r\ndata: a\r\n\r", 1, "", io.EOF},
		{"CR LF, torn before", "id: 1\r\ndata: a\r\n", 0, "id: 1\r\ndata: a\r\n", eventstream.ErrInsideEvent},
		{"CR", "id: 1\rdata: a\r\rid: 2\r\r", 2, "", io.EOF},
		{"CR, torn", "id: 1\rdata: a\r", 0, "id: 1\rdata: a\r", eventstream.ErrInsideEvent},
		{"a byte order mark", "\ufeffid: 1\n\n", 1, "", io.EOF},
	}
	for _, c := range cases {
		for name, from := range map[string]io.Reader{"at once": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text))} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				events, left, err := read(from)
				if name == "byte by byte" && strings.HasSuffix(c.text, "\r\n") && c.left == "" {
					left = strings.TrimPrefix(left, "\n") // the event was read at its CR
				}
				if len(events) != c.events || left != c.left || !errors.Is(err, c.want) {
					t.Errorf("%d events, %q left, %v; want %d, %q, %v", len(events), left, err, c.events, c.left, c.want)
				}
			})
		}
	}
}

// TestEventIsReadBeforeTheNextOneComes guards against an event that waits for the byte behind its last line end.
func TestEventIsReadBeforeTheNextOneComes(t *testing.T) {
	for _, text := range []string{"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r"} {
		from, to := io.Pipe()
		go func() { _, _ = io.WriteString(to, text) }() // and nothing behind it
		if e, err := eventstream.NewReader(from).Next(); err != nil || string(e.Raw) != text {
			t.Errorf("%q: read %q, %v", text, e.Raw, err)
		}
		_ = from.Close()
	}
}

// TestLongEventFails guards against events that fill the memory, in one line or in many.
func TestLongEventFails(t *testing.T) {
	const tooMuch = 2 << 20
	for _, text := range []string{strings.Repeat("a", tooMuch), strings.Repeat("data: a\n", tooMuch/8)} {
		if _, _, err := read(strings.NewReader(text)); !errors.Is(err, eventstream.ErrTooLong) {
			t.Errorf("%v", err)
		}
	}
}

// TestBreakIsNotTheEnd guards against an error of the connection that is taken for the end of the stream.
func TestBreakIsNotTheEnd(t *testing.T) {
	broken := errors.New("reset")
	from := io.MultiReader(strings.NewReader("data: a\n\n"), iotest.ErrReader(broken))
	if events, _, err := read(from); len(events) != 1 || !errors.Is(err, broken) {
		t.Errorf("%d events, %v", len(events), err)
	}
}

// model splits a whole text by the rules of the format, character by character. It returns the ids of the events, 0
// for those without one, and whether the text ends between two events.
func model(text string) (ids []int64, whole bool) {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	lines := strings.Split(text, "\n")
	last := lines[len(lines)-1] // behind the last line end
	id, fields := int64(0), false
	for n, line := range lines[:len(lines)-1] {
		if n == 0 {
			line = strings.TrimPrefix(line, "\ufeff")
		}
		if line == "" {
			ids = append(ids, id)
			id, fields = 0, false
			continue
		}
		fields = fields || line[0] != ':'
		if value, found := strings.CutPrefix(line, "id:"); found {
			if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
				id = n
			}
		}
	}
	return ids, !fields && last == ""
}

// checkAgainstModel compares the reader with the model, and Tracker with the reader.
func checkAgainstModel(t *testing.T, text string, from io.Reader) {
	t.Helper()
	events, left, err := read(from)
	ids, whole := model(text)
	var got []int64
	var raw strings.Builder
	for _, e := range events {
		got = append(got, e.ID)
		raw.Write(e.Raw)
	}
	switch {
	case fmt.Sprint(got) != fmt.Sprint(ids):
		t.Errorf("%q: events %v, want %v", text, got, ids)
	case errors.Is(err, io.EOF) != whole:
		t.Errorf("%q: ended with %v, whole %t", text, err, whole)
	case raw.String()+left != text:
		t.Errorf("%q: the bytes read are %q", text, raw.String()+left)
	}
	for part := range len(text) + 1 {
		var tracker eventstream.Tracker
		tracker.Add([]byte(text[:part]))
		tracker.Add([]byte(text[part:]))
		if tracker.InsideEvent() != errors.Is(err, eventstream.ErrInsideEvent) {
			t.Errorf("%q in parts of %d bytes and the rest: inside an event %t, the reader ended with %v", text, part, tracker.InsideEvent(), err)
		}
	}
}

// TestTrackerKeepsLastEvent guards against a closing event that is not seen, or seen in the text of another.
func TestTrackerKeepsLastEvent(t *testing.T) {
	cases := []struct{ text, want string }{
		{"data: a\n\ndata: [DONE]\n\n", "data: [DONE]\n"},
		{"data: a\r\n\r\ndata: [DONE]\r\n\r\n: end\r\n\r\n", "data: [DONE]\n"},
		{": c\ndata: [DONE]\n\n", "data: [DONE]\n"},
		{"data: a\n\ndata: [DONE]\n", "data: a\n"},
		{"data: data: [DONE]\n\n", "data: data: [DONE]\n"},
		{"event: e\ndata: [DONE]\n\n", "event: e\ndata: [DONE]\n"},
	}
	for _, c := range cases {
		for part := range len(c.text) {
			var tracker eventstream.Tracker
			tracker.Add([]byte(c.text[:part]))
			tracker.Add([]byte(c.text[part:]))
			if got := string(tracker.LastEvent()); got != c.want {
				t.Errorf("%q: last event %q, want %q", c.text, got, c.want)
			}
		}
	}
}

// FuzzReader compares the reader with a slow model of the format, for texts that arrive at once or byte by byte.
func FuzzReader(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\n", "\r\n\r", ": c\r\r\rid:7\n\r\n", "\ufeff\n\n", "id: 1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		checkAgainstModel(t, text, strings.NewReader(text))
		checkAgainstModel(t, text, iotest.OneByteReader(strings.NewReader(text)))
	})
}

// TestReaderAgreesWithModel plays FuzzReader's check on random texts of the format's characters.
func TestReaderAgreesWithModel(t *testing.T) {
	pieces := []string{"id: 12", "data: x", ": c", "\n", "\r", "\r\n", "\n\n", "i", "\ufeff", " "}
	draw := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		var text strings.Builder
		for range draw.IntN(12) {
			text.WriteString(pieces[draw.IntN(len(pieces))])
		}
		checkAgainstModel(t, text.String(), strings.NewReader(text.String()))
		checkAgainstModel(t, text.String(), iotest.OneByteReader(strings.NewReader(text.String())))
	}
}

// countingMemory counts what is held, up to a limit.
type countingMemory struct{ held, limit int }

var errNoRoom = errors.New("no room")

func (m *countingMemory) Hold(n int) error {
	if m.held+n > m.limit {
		return errNoRoom
	}
	m.held += n
	return nil
}

func (m *countingMemory) Release(n int) { m.held -= n }

// TestEventsAreCounted guards against memory of events that nobody counts, or that stays counted behind them.
func TestEventsAreCounted(t *testing.T) {
	event := func(size int) string { return "data: " + strings.Repeat("x", size) + "\n\n" }
	steps := []struct {
		peek        bool // before the step
		size        int
		least, most int // held after it
	}{
		{false, 100, 0, 0},
		{false, 20 << 10, 20 << 10, 48 << 10},
		{false, 100, 0, 0}, // of the one before nothing is left
		{false, 20 << 10, 20 << 10, 48 << 10},
		{true, 30 << 10, 30 << 10, 72 << 10}, // read ahead, beside the one before
		{false, 100, 0, 0},
	}
	var text strings.Builder
	for _, s := range steps {
		text.WriteString(event(s.size))
	}
	memory := &countingMemory{limit: 100 << 10}
	r := eventstream.NewReaderWithin(strings.NewReader(text.String()+event(200<<10)), memory)
	for n, s := range steps {
		before := memory.held
		if s.peek {
			if err := r.Peek(); err != nil || memory.held <= before {
				t.Errorf("step %d: %d bytes held, %v, want more than %d", n, memory.held, err, before)
			}
		}
		if e, err := r.Next(); err != nil || len(e.Raw) != len(event(s.size)) || memory.held < s.least || memory.held > s.most {
			t.Errorf("step %d: %d bytes of an event, %d held, %v", n, len(e.Raw), memory.held, err)
		}
	}
	if _, err := r.Next(); !errors.Is(err, errNoRoom) || memory.held > memory.limit {
		t.Errorf("an event beyond the limit: %v, %d bytes held", err, memory.held)
	}
}

// TestPeekedEventIsTheNext guards against judging another event than the one that is read then.
func TestPeekedEventIsTheNext(t *testing.T) {
	r := eventstream.NewReader(strings.NewReader("id: 7\ndata: a\n\nid: 8\n\n"))
	for _, id := range []int64{7, 8} {
		if err := r.Peek(); err != nil || r.Peeked().ID != id {
			t.Errorf("peeked %+v, %v, want id %d", r.Peeked(), err, id)
		}
		if e, err := r.Next(); err != nil || e.ID != id || r.Peeked().HasID {
			t.Errorf("next %+v, %v, want id %d", e, err, id)
		}
	}
}
