// Package answerhead checks the heads of answers for what net/http's parser accepts although HTTP/1.1 does
// not allow it.
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = answerhead.CheckResponse(response)
//	}
package answerhead

import (
	"net/http"
	"slices"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
)

// The least and the greatest status (RFC 9110, 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns why a head that was read breaks the protocol, or nil.
func CheckResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return trace.BadParameter("the answer is of %.20q", response.Proto)
	}
	return Check(response.StatusCode, response.Header)
}

// Check returns why an answer can't have a status or a header, or nil.
func Check(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return trace.BadParameter("the answer's status is %03d", status)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return trace.BadParameter("%.40q can't be the name of a field", name)
		}
		if slices.ContainsFunc(values, isInvalidValue) {
			return trace.BadParameter("field %.40q has a value with a control byte", name)
		}
	}
	return nil
}

func isInvalidValue(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }
