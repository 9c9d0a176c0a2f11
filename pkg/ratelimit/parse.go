package ratelimit

import (
	"errors"
	"strconv"
	"strings"
)

// Parse parses a limit as targets send it: a decimal number, with or without an exponent. If there are several, in
// a list or in several values, all apply, so the lowest counts; those that are not numbers are ignored. A negative
// number counts as 0, and one beyond the range of float64 as no limit.
func Parse(values []string) ParsedLimit {
	named := ParsedLimit{Given: len(values) > 0, Rate: Unlimited}
	for _, value := range values {
		for field := range strings.SplitSeq(value, ",") {
			rate, ok := parse(strings.TrimSpace(field))
			if ok {
				named.Readable = true
				named.Rate = min(named.Rate, rate)
			}
		}
	}
	if !named.Readable {
		named.Rate = 0
	}
	return named
}

// parse parses one number, which may be beyond the range of float64; it returns false for anything else.
func parse(text string) (Rate, bool) {
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false // strconv.ParseFloat also accepts hexadecimal numbers and infinities
	}
	number, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return 0, false
	}
	return max(0, Rate(number)), true
}
