package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter reads the value of a Retry-After header that is a time in seconds, with or without a
// fraction. What is no such time, or a
// negative one, asks for nothing; one beyond what a duration holds is the longest.
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
