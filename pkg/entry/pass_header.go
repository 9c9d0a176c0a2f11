package entry

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// modelHeader returns the part of a caller's header that an engine needs.
func modelHeader(h http.Header) http.Header {
	passed := make(http.Header, 1)
	if kind := h["Content-Type"]; kind != nil {
		passed["Content-Type"] = kind
	}
	return passed
}

// plainHeader returns a caller's header without the fields that belong to the connection or to quaydock. The
// account's API key is sent to no target.
func plainHeader(h http.Header) http.Header {
	named := make(map[string]bool) // further fields that belong to the connection
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	passed := make(http.Header)
	for name, values := range h {
		ours := name == "Authorization" || name == "Content-Length" || strings.HasPrefix(name, headerPrefix)
		if !ours && !hopHeaders[name] && !named[name] {
			passed[name] = values
		}
	}
	return passed
}
