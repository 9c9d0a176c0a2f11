package advisory

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const (
	headerRetryAfter = "Retry-After"
	headerDate       = "Date"
	// maxBackoff keeps times well within the range of a time.Duration.
	maxBackoff = 366 * 24 * 3600 * clock.Second
)

// ReadBackoff returns for how long the target that sent an answer wants no requests, by the answer's header; 0 if it
// asks for no back-off. If there are several values, it returns the longest time. The field is HTTP's Retry-After, with
// fractions of seconds allowed.
func ReadBackoff(h http.Header) clock.Millis {
	var longest clock.Millis
	for _, value := range h[headerRetryAfter] {
		longest = max(longest, parseRetryAfter(strings.TrimSpace(value), h))
	}
	return longest
}

// ReadDate returns when the target sent an answer, by its own clock and cut to whole seconds; 0 if the answer has no
// valid date.
func ReadDate(h http.Header) ids.Start {
	sent, err := http.ParseTime(h.Get(headerDate))
	if err != nil {
		return 0
	}
	return ids.Start(sent.UnixMilli())
}

// parseRetryAfter parses seconds, with or without fractions, or a date. Any other value, such as a negative number, is
// ignored. The target's clock may be wrong, so a date counts from that of the answer, and is ignored if the answer has
// none. Times are rounded up to whole ms, and limited to a year.
func parseRetryAfter(value string, h http.Header) clock.Millis {
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return clock.Millis(math.Ceil(min(seconds*float64(clock.Second), float64(maxBackoff))))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	sent, err := http.ParseTime(h.Get(headerDate))
	if err != nil {
		return 0
	}
	return clock.Millis(max(0, min(until.Sub(sent).Milliseconds(), int64(maxBackoff))))
}
