package membership

import (
	"net/netip"
	"slices"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/packets"
)

// An entry that has no news of the store may go on spending its part of what all
// may spend for as long as nobody shares that part out. It knows so by a lease that
// the others renew: each greeting carries a stamp, and each entry tells the others
// whose stamp it heard last. While more than half of the listed entries have heard
// this one within assuredFor, none can take it off the list: for that, half of
// them have to say that they have not heard it for ForgetAfter (mayRemove), and
// one of these would be among those that did.
//
// A lease that has run out is not renewed by being heard again, since the entry
// may be taken off on what others said meanwhile: the next one counts from beginAfter on,
// when all that has been decided on such words is done and can be read in the store.
const (
	assuredFor = ForgetAfter - 500*clock.Millisecond
	beginAfter = inquiryFor + 3*writeTimeout
)

// stamp is when a greeting was sent, by its sender's clock. Run tells a process from
// an earlier one of the same name, whose clock means nothing to it.
type stamp struct {
	_    struct{} `cbor:",toarray"`
	Run  uint64
	Sent clock.Millis
}

// assurance is an entry's lease on its place in the list.
type assurance struct {
	run   uint64
	since clock.Millis // when the lease that runs now began
	until clock.Millis
}

// echoed notes which of this entry's greetings another has heard; the lock is held. Where
// nobody goes on by a lease, it need not be worked out at each greeting.
func (m *Members) echoed(now clock.Millis, other *member, heard stamp) {
	if heard.Run != m.assurance.run || heard.Sent <= other.heardUs {
		return
	}
	other.heardUs = heard.Sent
	if m.trust > 0 {
		m.renew(now)
	}
}

// renew extends the lease as far as the others have heard this entry; the lock is
// held.
func (m *Members) renew(now clock.Millis) {
	until := m.heardByMost(now) + assuredFor
	if now > m.assurance.until {
		m.assurance.since = now + beginAfter
	}
	m.assurance.until = max(m.assurance.until, until)
}

// heardByMost is the latest moment such that more than half of the listed entries,
// this one included, have heard it at that moment or later.
func (m *Members) heardByMost(now clock.Millis) clock.Millis {
	heard := []clock.Millis{now}
	for name, other := range m.list {
		if name != m.self {
			heard = append(heard, other.heardUs)
		}
	}
	slices.Sort(heard)
	slices.Reverse(heard)
	return heard[m.entries()/2]
}

// Assured reports whether this entry has been on the list without doubt ever since a
// moment, and nobody can take it off before it stops on its own.
func (m *Members) Assured(since clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasPart() {
		return false // it may have been taken off already, or not be there yet
	}
	if m.entries() == 1 {
		return true // there is nobody to take it off
	}
	now := m.Clock.Now()
	m.renew(now)
	return m.assurance.since <= since && now <= m.assurance.until
}

// silenceQuestion asks for how long an entry has not been heard.
type silenceQuestion struct {
	_     struct{} `cbor:",toarray"`
	Entry ids.Process
}

// silenceAnswer says that the sender has not heard an entry for some time. One that
// started after that cannot know what it heard before, so it tells no more than
// its own age.
type silenceAnswer struct {
	_      struct{} `cbor:",toarray"`
	Sender ids.Process
	Entry  ids.Process
	For    clock.Millis
}

// inquiry gathers what others say of an entry that is silent here.
type inquiry struct {
	began   clock.Millis
	answers map[ids.Process]clock.Millis // for how long each has not heard it
}

// inquireSilence asks the others about an entry that is silent here; the lock is held.
func (m *Members) inquireSilence(now clock.Millis, name ids.Process) {
	m.inquiries[name] = &inquiry{began: now, answers: make(map[ids.Process]clock.Millis)}
	for other, listed := range m.list {
		if other != m.self && other != name {
			m.link.Send(listed.address, packets.KindSilenceQuestion, silenceQuestion{Entry: name})
		}
	}
}

// inquiryFor is for how long the answers to an inquiry count.
const inquiryFor = 2 * listEvery

// silence counts the listed entries, this one included, that have answered an inquiry,
// and those of them that have not heard the entry for ForgetAfter; the lock is held.
func (m *Members) silence(now clock.Millis, name ids.Process) (answered, agreed int) {
	i := m.inquiries[name]
	if i == nil || now-i.began > inquiryFor {
		return 1, 1
	}
	answered, agreed = 1, 1
	for other, silent := range i.answers {
		if m.list[other] == nil {
			continue
		}
		answered++
		if silent > ForgetAfter {
			agreed++
		}
	}
	return answered, agreed
}

func (m *Members) askedForSilence(from netip.AddrPort, q *silenceQuestion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.startedAt
	if other := m.list[q.Entry]; other != nil {
		last = max(last, other.greetedAt)
	}
	m.link.Send(from, packets.KindSilenceAnswer, silenceAnswer{Sender: m.self, Entry: q.Entry, For: m.Clock.Now() - last})
}

func (m *Members) toldOfSilence(from netip.AddrPort, a *silenceAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sender, i := m.list[a.Sender], m.inquiries[a.Entry]
	if sender == nil || sender.address != from || i == nil {
		return
	}
	i.answers[a.Sender] = a.For
}
