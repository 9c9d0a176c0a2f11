package forward

import (
	"fmt"
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
)

// Request is what a target is sent.
type Request struct {
	ID     string
	Method string
	// Path is the path and query as the caller wrote them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// Marks are what the head of an answer says about the exchange.
type AnswerMetadata struct {
	// ID is the request that the answer belongs to; empty if it does not say.
	ID string
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Load is the target's own word on its load, if it gave one.
	Load *Load
	// Leaving says that the target leaves.
	Leaving bool
	// Rest is for how long a target that turns a request away wants no other one from here; 0 if it does not
	// say.
	Backoff clock.Millis
	// Limit is how many requests a second the target takes from all entries.
	Limit ratelimit.ParsedLimit
}

// Load is a target's report of its own load.
type Load struct {
	Running, Waiting, Slots int
}

// Result is how one exchange with a target went: NotSent, Withheld, Declined, *Answer or
// Broken.
type Result interface{ result() }

// NotSent says that no byte of the request was written, so that the target
// cannot have run it.
type NotSent struct{ Err error }

// Withheld says that nothing was sent, as the target has told this entry before that it leaves, or wants no
// requests for a while.
type Withheld struct{}

// Declined says that the target told it did not run the request.
type Declined struct {
	Status int
	Load   *Load
}

// Broken says that the exchange failed, and that the target may have run the request.
type Broken struct{ Err error }

func (NotSent) result()  {}
func (Withheld) result() {}
func (Declined) result() {}
func (*Answer) result()  {}
func (Broken) result()   {}

// Answer is the head of a target's answer, and its body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if its end shows otherwise.
	Length int64
	Load   *Load
	body   *body
}

// Read reads the body. It returns io.EOF only behind the last byte of a whole
// body.
func (a *Answer) Read(p []byte) (int, error) {
	return a.body.Read(p)
}

// Close ends the exchange; before the end of the body it closes the connection,
// which has the target drop the request.
func (a *Answer) Close() {
	a.body.close()
}

// Dialer limits.
const (
	// dialTimeout bounds the making of a connection: targets are a few
	// milliseconds away, and a lost opening packet is repeated only after a
	// second, by which time another target has answered.
	dialTimeout = 350 * clock.Millisecond
	// endedTimeout bounds the question whether a target's process still listens, which its VM
	// answers within some ms; a caller's repeat may wait for it.
	endedTimeout = 100 * clock.Millisecond
	// answersTimeout bounds the question whether a target that is silent can still be reached. It is asked
	// while another one is tried, and known before the two have worked for too long.
	answersTimeout = 220 * clock.Millisecond
	// idleLimit is how long an idle connection is used again at the most;
	// targets may forget a connection sooner than they say.
	idleLimit = 4 * clock.Second
	// idleMargin is kept from the time a target says it keeps a connection.
	idleMargin = 1500 * clock.Millisecond
	// maxStrays is how many answers to other requests are passed over.
	maxStrays = 4
)

func unreached(t *routing.Target, err error) NotSent {
	return NotSent{fmt.Errorf("target %s at %s: %w", t.ID, t.Address, err)}
}
