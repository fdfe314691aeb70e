// Command order sends one order that must run once. Run it twice with the same key: the
// second run gets the first one's answer again.
//
//	. examples/local/client.env && go run ./examples/order key-1 "2 x adobo"
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/dghubble/sling"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: order KEY TEXT")
		os.Exit(2)
	}
	base := strings.TrimSuffix(os.Getenv("OPENAI_BASE_URL"), "/v1")
	request, err := sling.New().Base(base).Post("/services/orders/orders").
		Set("Authorization", "Bearer "+os.Getenv("OPENAI_API_KEY")).
		Set("Idempotency-Key", os.Args[1]).Set("Thymewind-Not-Repeatable", "true").
		Body(strings.NewReader(os.Args[2])).Request()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Fprintln(os.Stderr, "it may have run; ask again with the same key:", err)
		os.Exit(1)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, string(body), err)
	fmt.Println("given again:", response.Header.Get("Idempotency-Replayed"), "outcome:", response.Header.Get("Thymewind-Outcome"))
}
