package network

import "net/http"

// Framing is how the end of an answer's body is marked (RFC 9112, section 6.3).
type Framing int

//go:generate stringer -type=Framing -trimprefix=FramedBy -output=framing_string.go

// The framings.
const (
	// FramedByLength: the head names the length, or the answer has no body.
	FramedByLength Framing = iota
	// FramedByChunks: an empty chunk marks the end.
	FramedByChunks
	// FramedByClose: the body ends when the target closes the connection.
	FramedByClose
)

// FramingOf returns the framing of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0, response.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByClose
	}
}
