package thymewind

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	standin "github.com/thymewind/thymewind/internal/standin/engine"
)

// TestOfficialClient has the API's official client library talk to a daemon, with only
// the base URL and the key changed.
func TestOfficialClient(t *testing.T) {
	f := newFleet(t, 1, nil)
	base := f.daemons[0].callers + "/v1/"
	client := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey("menu key"), option.WithMaxRetries(0))
	chat := openai.ChatCompletionNewParams{
		Model: "menu-assistant", MaxTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("what is left tonight")},
	}
	want := standin.Answer("<|user|>what is left tonight\n", 12)

	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != "menu-assistant" {
			t.Errorf("Models.List = %+v, %v", page, err)
		}
	})
	t.Run("whole", func(t *testing.T) {
		var response *http.Response
		got, err := client.Chat.Completions.New(t.Context(), chat, option.WithResponseInto(&response))
		if err != nil {
			t.Fatal(err)
		}
		c := got.Choices[0]
		if c.Message.Content != want || c.FinishReason != "length" || got.Usage.CompletionTokens != 12 || got.Usage.TotalTokens != got.Usage.PromptTokens+12 {
			t.Errorf("got %+v, usage %+v", c, got.Usage)
		}
		if response.Header.Get("X-Request-Id") == "" {
			t.Error("no request ID")
		}
	})
	t.Run("streamed", func(t *testing.T) {
		params := chat
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		sum := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			if !sum.AddChunk(stream.Current()) {
				t.Fatal("a chunk does not fit the ones before")
			}
		}
		if stream.Err() != nil || sum.Choices[0].Message.Content != want || sum.Choices[0].FinishReason != "length" || sum.Usage.CompletionTokens != 12 {
			t.Errorf("got %+v, %v", sum.ChatCompletion, stream.Err())
		}
	})
	t.Run("text", func(t *testing.T) {
		got, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "menu-assistant", MaxTokens: openai.Int(5), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		})
		if err != nil || got.Choices[0].Text != standin.Answer("hello", 5) {
			t.Errorf("got %+v, %v", got, err)
		}
	})
	t.Run("errors", func(t *testing.T) {
		params := chat
		params.Model = "nobody"
		_, err := client.Chat.Completions.New(t.Context(), params)
		var known *openai.Error
		if !errors.As(err, &known) || known.StatusCode != http.StatusNotFound || known.Code != "model_not_found" || !strings.Contains(known.Message, "nobody") {
			t.Errorf("got %v", err)
		}
	})
}
