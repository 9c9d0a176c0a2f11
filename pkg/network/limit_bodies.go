package network

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrBodyTooLong is returned by the body of an answer that is longer than LimitBodies permits.
var ErrBodyTooLong = errors.New("the answer is too long")

// LimitBodies returns a client's transport that reads no more than most bytes of the body of each answer, by way of
// another one: servers that callers decode whole answers of may send bytes without end.
func LimitBodies(transport *http.Transport, most int64) http.RoundTripper {
	return &bodyLimiter{Transport: transport, most: most}
}

// bodyLimiter is a transport that limits the bodies of answers. What it does not override, such as closing idle
// connections, is that of the transport.
type bodyLimiter struct {
	*http.Transport
	most int64
}

// RoundTrip makes one call.
func (l *bodyLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.Transport.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("calling the server: %w", err)
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: l.most}
	return response, nil
}

// limitedBody is a body of which a number of bytes may still be read.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read reads the body, and returns ErrBodyTooLong beyond its limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrBodyTooLong
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if b.left -= int64(n); b.left < 0 {
		return n - 1, ErrBodyTooLong
	}
	return n, err
}
