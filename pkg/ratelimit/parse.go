package ratelimit

import (
	"errors"
	"strconv"
	"strings"
)

// Parse reads a limit as targets name it: a decimal number, with an exponent or without. Several, in a list or in several
// values, are all to hold, so that the least counts; among them those that are no numbers are passed over. A negative number
// takes as little as 0, and one that is beyond all numbers is no limit.
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

func parse(text string) (Rate, bool) {
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false // strconv reads more, as hexadecimal numbers and words for infinity
	}
	number, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrSyntax) {
		return 0, false
	}
	return max(0, Rate(number)), true
}
