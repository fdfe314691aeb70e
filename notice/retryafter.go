package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter parses a Retry-After header in seconds, with or without a fraction.
// Anything else, and a negative number, is zero; one beyond the range of a duration is
// the longest.
func ParseRetryAfter(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if math.IsInf(s, 1) {
		return math.MaxInt64
	}
	if err != nil || !(s > 0) {
		return 0
	}
	if s >= float64(math.MaxInt64)/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
