package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/thymewind/thymewind/refusal"
)

// refuse writes the response to a refused request.
func (c *call) refuse(r *refusal.Refusal) {
	c.OnRefused(c.id, c.account.Name, r)
	c.w.Header().Set(HeaderOutcome, r.Outcome)
	c.w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.w.WriteHeader(r.Status)
	_, _ = c.w.Write(errorBody(c.id, r))
}

// errorBody is the API's error format with the outcome added.
func errorBody(id string, r *refusal.Refusal) []byte {
	body := struct {
		Error any `json:"error"`
	}{struct {
		Message    string  `json:"message"`
		Type       string  `json:"type"`
		Param      *string `json:"param"`
		Code       string  `json:"code"`
		Outcome    string  `json:"outcome"`
		Request    string  `json:"request_id"`
		RetryAfter float64 `json:"retry_after_s,omitempty"`
	}{r.Reason, errorType(r.Status), nil, r.Code, r.Outcome, id, r.RetryAfter.Seconds()}}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"message":"internal"}}`)
	}
	return data
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
