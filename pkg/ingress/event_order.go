package ingress

import (
	"strconv"

	"quaydock/pkg/eventstream"
)

// position is a place in a stream: behind an event with an id, and behind so many events without one that follow it.
type position struct {
	id         int64 // of the event, if hasID; otherwise the place is before all events with ids
	hasID      bool
	unnumbered int
}

// after returns the place behind an event that begins at p. Comments take none.
func (p position) after(e eventstream.Event) position {
	switch {
	case e.HasID:
		return position{id: e.ID, hasID: true}
	case e.HasFields:
		p.unnumbered++
	}
	return p
}

// isBehind reports whether p is further in the stream than o.
func (p position) isBehind(o position) bool {
	switch {
	case p.hasID != o.hasID:
		return p.hasID
	case p.id != o.id:
		return p.id > o.id
	default:
		return p.unnumbered > o.unnumbered
	}
}

// EventStep is what an event of a target is to what its caller has of the stream.
type EventStep int

//go:generate stringer -type=EventStep -trimprefix=Event -output=event_step_string.go

// Values of EventStep.
const (
	// EventNew: it follows what the caller has.
	EventNew EventStep = iota
	// EventRepeated: the caller has it, and its target has sent none with an id that the caller does not have.
	EventRepeated
	// EventBack: its id does not rise, though its target has sent one that was new.
	EventBack
	// EventSkips: it is the first new one of a target that goes on, and not the next of a stream whose ids rise by one.
	EventSkips
)

// minNumbered is how many events with ids a stream must have had for its ids to be taken to rise by one.
const minNumbered = 2

// eventOrder is what a caller has of a stream. It is a value, so that searches have their own copy.
type eventOrder struct {
	at       position // of the last event that the caller has
	numbered int      // events with ids that it got from this entry
	uneven   bool     // the ids of two of them in a row differ by more than one
}

// newEventOrder returns what a caller has that names the id of its last event; an id that is no number says nothing.
func newEventOrder(lastEvent string) eventOrder {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil {
		return eventOrder{}
	}
	return eventOrder{at: position{id: id, hasID: true}}
}

// begun reports whether the caller got an event from this entry.
func (o eventOrder) begun() bool { return o.numbered > 0 || o.at.unnumbered > 0 }

// exchangeOrder is how far one target has come in a stream.
type exchangeOrder struct {
	at      position
	sentNew bool // it has sent an event with an id that the caller did not have
}

// goingOn returns the order of a target that is asked to go on. It is told an id, so that it may repeat events without
// one that follow.
func (o eventOrder) goingOn() exchangeOrder {
	return exchangeOrder{at: position{id: o.at.id, hasID: o.at.hasID}}
}

// endsBefore reports whether a target that ends the stream has not come as far as its caller. It need not repeat events
// without an id that follow the one that it is told.
func (o eventOrder) endsBefore(x exchangeOrder) bool {
	return o.at.isBehind(x.at) && (o.at.id != x.at.id || !o.at.hasID)
}

// step returns what the next event of a target is to its caller.
func (o eventOrder) step(x exchangeOrder, e eventstream.Event) EventStep {
	switch {
	case !e.HasFields:
		return EventNew
	case x.at.after(e).isBehind(o.at):
		if e.HasID && !x.sentNew && o.numbered >= minNumbered && !o.uneven && e.ID != o.at.id+1 {
			return EventSkips
		}
		return EventNew
	case e.HasID && x.sentNew:
		return EventBack
	default:
		return EventRepeated
	}
}

// follow returns both orders behind the next event of a target, and what the event is.
func (o eventOrder) follow(x exchangeOrder, e eventstream.Event) (eventOrder, exchangeOrder, EventStep) {
	step := o.step(x, e)
	if !e.HasFields || step == EventBack || step == EventSkips {
		return o, x, step
	}
	x.at = x.at.after(e)
	if step == EventRepeated {
		return o, x, step
	}
	if e.HasID {
		o.uneven = o.uneven || o.numbered > 0 && e.ID != o.at.id+1
		o.numbered++
		x.sentNew = true
	}
	o.at = x.at
	return o, x, step
}
