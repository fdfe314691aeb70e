package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/heldbytes"
)

// TestEndedAsItArrives guards against a request that is served although its connection was ended for
// another one just before its last bytes were read: it would run, and its client get no answer.
func TestEndedAsItArrives(t *testing.T) {
	for _, body := range []string{"", "the last bytes"} {
		ledger := &heldbytes.Ledger{}
		gate := &Gate{Ledger: ledger, Now: time.Now}
		_, served := net.Pipe()
		c := &conn{Conn: served, listener: &listener{gate: gate}, account: ledger.Open()}
		c.state.Store(ended)
		arrived := false
		handler := gate.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			arrived = !errors.Is(err, os.ErrDeadlineExceeded)
		}))
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		if body == "" {
			request.Body = http.NoBody
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request.WithContext(withConn(request.Context(), c)))
		if arrived {
			t.Errorf("a request with body %q arrived whole", body)
		}
		if body == "" && recorder.Code != http.StatusRequestTimeout {
			t.Errorf("got %d", recorder.Code)
		}
	}
}
