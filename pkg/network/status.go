package network

import (
	"fmt"
	"net/http"
)

// The statuses of final answers (RFC 9110, section 15). Any other one, and 101, which answers a request to upgrade, is none.
const (
	lowestFinalStatus  = 200
	highestFinalStatus = 599
)

// IsFinalStatus reports whether an answer can have a status, beside interim ones.
func IsFinalStatus(status int) bool {
	return status >= lowestFinalStatus && status <= highestFinalStatus
}

// IsInterimStatus reports whether a status is that of a head before an answer's own.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < lowestFinalStatus && status != http.StatusSwitchingProtocols
}

// CheckFinal returns an error unless a response of net/http, which takes any three digits for a status, is a final answer of
// HTTP/1.
func CheckFinal(response *http.Response) error {
	if response.ProtoMajor != 1 || !IsFinalStatus(response.StatusCode) {
		return fmt.Errorf("%s with status %d is no answer", response.Proto, response.StatusCode)
	}
	return nil
}
