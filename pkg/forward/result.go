package forward

import (
	"fmt"
	"net/http"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
	"quaydock/pkg/network"
	"quaydock/pkg/ratelimit"
	"quaydock/pkg/routing"
	"quaydock/pkg/slowdown"
)

// Request is the request that is sent to a target.
type Request struct {
	ID     string
	Method string
	// Path is the path and query as the caller wrote them.
	Path string
	// Host is written as the Host header field, before the fields of Header.
	Host   string
	Header http.Header
	Body   []byte
}

// AnswerMetadata is what the head of an answer contains about the exchange and its target.
type AnswerMetadata struct {
	// ID is the request that the answer belongs to; empty if the head does not name it.
	ID string
	// Target is the process that answered; empty if the head does not name it.
	Target ids.Target
	// NotRun means that the target did not run the request and never will.
	NotRun bool
	// Load is the load that the target reported, if it did.
	Load *Load
	// LoadMalformed means that the target reported a load that could not be read.
	LoadMalformed bool
	// Leaving means that the target takes no new requests and will end.
	Leaving bool
	// Backoff is how long a target that rejects a request wants no other one from this entry; 0 if it does not
	// say.
	Backoff clock.Millis
	// Limit is how many requests a second the target accepts from all entries together.
	Limit ratelimit.ParsedLimit
}

// Load is a target's report of its own load.
type Load struct {
	Running, Waiting, Slots int // all in requests
	// Slowdown is how many times as long as usual work takes there now; 0 if the target did not report it.
	Slowdown slowdown.Factor
}

// Result is the result of one exchange with a target: NotSent, Withheld, Declined, *Answer or Broken.
type Result interface{ result() }

// NotSent means that no byte of the request was written, so that the target cannot have run it.
type NotSent struct{ Err error }

// Withheld means that nothing was sent, because the target's advice blocks requests from this entry (it is leaving
// or asked for a back-off), or its failure domain is drained.
type Withheld struct{}

// Declined means that the target reported that it did not run the request.
type Declined struct {
	Status int
	Load   *Load // nil if the target did not report it
}

// Broken means that the exchange failed, and that the target may have run the request.
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
	// Length is the body's length, or -1 if it is not known before the body's end.
	Length int64
	// Framing is how the end of the body is marked.
	Framing network.Framing
	Load    *Load // nil if the target did not report it
	// ConnectedAt is the Unix millisecond at which the connection was made, by the clock of this VM.
	ConnectedAt ids.Start
	body        *body
}

// Read reads the body. It returns io.EOF only after the last byte of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	return a.body.Read(p)
}

// LimitRest gives the answer up if its body is not complete within a time from now: Read then returns a LimitError.
func (a *Answer) LimitRest(within clock.Millis) { a.body.limitRest(within) }

// HeldBytes returns how many bytes of the head are counted in the account of buffers, until Close.
func (a *Answer) HeldBytes() int { return max(0, a.body.exchange.headBytes-freeHeadBytes) }

// Hold counts n more bytes of the answer that can't be passed on yet. It fails with a LimitError if the exchanges of this
// process hold too much, and this one most.
func (a *Answer) Hold(n int) error { return a.body.exchange.hold(n) }

// Release takes back n bytes that Hold has counted. Close takes back all that is left.
func (a *Answer) Release(n int) {
	a.body.exchange.pool.account.ReleaseIncoming(&a.body.exchange.incoming, n)
}

// GiveUp logs and counts that the answer is given up at a limit, after so many bytes. Close has still to be called.
func (a *Answer) GiveUp(limit Limit, size int) { _ = a.body.exchange.giveUp(limit, size) }

// Close ends the exchange. Before the end of the body it closes the connection, upon which the target drops the
// request.
func (a *Answer) Close() {
	a.body.close()
}

// Limits of connections.
const (
	// dialTimeout limits making a connection: targets are a few milliseconds away, and a lost SYN is repeated only
	// after a second, by which time another target has answered.
	dialTimeout = 350 * clock.Millisecond
	// endedTimeout limits the check whether a target's process still listens, which its VM answers within a few
	// milliseconds; a caller's repeat may wait for it.
	endedTimeout = 100 * clock.Millisecond
	// reachTimeout limits the check whether a target that does not answer can still be reached. The check runs
	// while another target is tried, and must be done before both have worked on the request for too long.
	reachTimeout = 220 * clock.Millisecond
	// maxIdle is the longest time after which an idle connection is used again; targets may close a connection
	// sooner than they say.
	maxIdle = 4 * clock.Second
	// idleMargin is subtracted from the time for which a target says it keeps a connection.
	idleMargin = 1500 * clock.Millisecond
	// maxStrayAnswers is the number of answers to other requests at which an exchange fails.
	maxStrayAnswers = 4
)

// unreached returns the result of a request of which nothing was written; its error names the target.
func unreached(t *routing.Target, err error) NotSent {
	return NotSent{fmt.Errorf("target %s at %s: %w", t.ID, t.Address, err)}
}
