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
	headerRest = "Retry-After"
	headerDate = "Date"
	// mostRest keeps times well within what a time.Duration holds.
	mostRest = 366 * 24 * 3600 * clock.Second
)

// ReadRest reads from the header of an answer for how long its target wants no requests, in ms: the longest time, if
// there are several. The field is that of HTTP, with fractions of seconds besides.
func ReadBackoff(h http.Header) clock.Millis {
	var longest clock.Millis
	for _, value := range h[headerRest] {
		longest = max(longest, readRest(strings.TrimSpace(value), h))
	}
	return longest
}

// ReadDate reads when the target sent an answer, by its own clock and to the second; 0 if the answer does not say.
func ReadDate(h http.Header) ids.Start {
	said, err := http.ParseTime(h.Get(headerDate))
	if err != nil {
		return 0
	}
	return ids.Start(said.UnixMilli())
}

// readRest reads seconds, with fractions or without, or a date. What is neither, as a negative number, asks for
// nothing. A target's clock may be wrong, so that a date counts from the answer's own and says nothing
// without it. Parts of a ms count as whole ones, and an absurd time as a year.
func readRest(value string, h http.Header) clock.Millis {
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0
		}
		return clock.Millis(math.Ceil(min(seconds*float64(clock.Second), float64(mostRest))))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	said, err := http.ParseTime(h.Get(headerDate))
	if err != nil {
		return 0
	}
	return clock.Millis(max(0, min(until.Sub(said).Milliseconds(), int64(mostRest))))
}
