package entry

import (
	"quaydock/pkg/ids"
	"quaydock/pkg/refusal"
)

// waitResult is how the wait for a grant ended.
type waitResult interface{ isWaitResult() }

// granted: the request may be sent to the session's agent.
type granted struct {
	session *session
	grant   ids.Grant
	attempt int // attempt number of its ticket
}

// gaveUp: there was no grant; the request did not run.
type gaveUp struct{ refusal *refusal.Refusal }

// callerLeft: the caller disconnected, before or after the dispatch.
type callerLeft struct{}

func (granted) isWaitResult()    {}
func (gaveUp) isWaitResult()     {}
func (callerLeft) isWaitResult() {}

// exchangeResult is how the sending of a bound request ended.
type exchangeResult interface{ isExchangeResult() }

// answered: the complete answer has been relayed.
type answered struct{}

// neverDispatched: the grant was not used and never will be.
type neverDispatched struct{}

// broken: the connection failed, and the outcome has to be queried.
type broken struct{ cause error }

// ended: the caller is to get the refusal, without another try.
type ended struct{ refusal *refusal.Refusal }

func (answered) isExchangeResult()        {}
func (neverDispatched) isExchangeResult() {}
func (broken) isExchangeResult()          {}
func (ended) isExchangeResult()           {}
func (callerLeft) isExchangeResult()      {}
