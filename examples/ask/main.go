// Command ask sends one chat message to an entry daemon and prints the answer:
//
//	. examples/local/client.env && go run ./examples/ask "What is left tonight?"
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/dghubble/sling"
)

func main() {
	body := struct {
		Model    string `json:"model"`
		Messages []any  `json:"messages"`
	}{Model: os.Getenv("THYMEWIND_MODEL"), Messages: []any{struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"user", strings.Join(os.Args[1:], " ")}}}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	response, err := sling.New().Post(os.Getenv("OPENAI_BASE_URL")+"/chat/completions").
		Set("Authorization", "Bearer "+os.Getenv("OPENAI_API_KEY")).BodyJSON(body).ReceiveSuccess(&answer)
	if err != nil || response.StatusCode != http.StatusOK || len(answer.Choices) == 0 {
		fmt.Fprintln(os.Stderr, "no answer:", err)
		os.Exit(1)
	}
	fmt.Println(answer.Choices[0].Message.Content)
	fmt.Println("placed:", response.Header.Get("Thymewind-Rule"))
}
