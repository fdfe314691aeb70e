// Package answerhead tells heads of HTTP/1.1 answers from what net/http takes for one.
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = answerhead.CheckResponse(response)
//	}
package answerhead

import (
	"net/http"

	"github.com/gravitational/trace"
)

// The least and the greatest status (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns why a head that was read is none of HTTP/1.1, or nil.
func CheckResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return trace.BadParameter("the answer is of %.20q", response.Proto)
	}
	return Check(response.StatusCode, response.Header)
}

// Check returns why an answer can't have a status or a header, or nil.
func Check(status int, _ http.Header) error {
	if status < minStatus || status > maxStatus {
		return trace.BadParameter("the answer's status is %03d", status)
	}
	return nil
}
