package testbed_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"quaydock/pkg/network"
	"quaydock/pkg/testbed"
)

// openAIClient is an ordinary OpenAI client that knows nothing of quaydock.
func openAIClient(t *testing.T, bed *testbed.Bed, key string) openai.Client {
	t.Helper()
	transport := network.NewTransport(bed.Network, network.TransportOptions{})
	t.Cleanup(transport.CloseIdleConnections)
	return openai.NewClient(
		option.WithBaseURL("http://"+testbed.EntryAddress(0)+"/v1/"),
		option.WithAPIKey(key),
		option.WithHTTPClient(&http.Client{Transport: transport}),
		option.WithMaxRetries(0),
	)
}

func question(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("depth at berth 4?")},
	}
}

// An ordinary OpenAI client lists models, asks for whole and streamed answers,
// and understands refusals.
func TestOpenAIClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		ctx := context.Background()

		models, err := client.Models.List(ctx)
		if err != nil || len(models.Data) != 1 || models.Data[0].ID != testbed.Model {
			t.Errorf("models %+v, %v", models, err)
		}

		whole, err := client.Chat.Completions.New(ctx, question(testbed.Model))
		if err != nil || len(whole.Choices) != 1 || whole.Choices[0].Message.Content == "" || whole.Usage.CompletionTokens != 5 {
			t.Errorf("whole answer %+v, %v", whole, err)
		}

		stream := client.Chat.Completions.NewStreaming(ctx, question(testbed.Model))
		tokens := 0
		for stream.Next() {
			tokens += len(stream.Current().Choices)
		}
		if err := stream.Err(); err != nil || tokens != 5 {
			t.Errorf("%d streamed tokens, %v", tokens, err)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}

// Refusals reach the client as the errors that it knows, with our codes.
func TestOpenAIClientRefusals(t *testing.T) {
	scenarios := []struct {
		name, key, model string
		status           int
		code             string
	}{
		{"unknown key", "none", testbed.Model, http.StatusUnauthorized, "invalid_api_key"},
		{"unknown model", testbed.Key, "none", http.StatusNotFound, "model_not_found"},
	}
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		for _, s := range scenarios {
			client := openAIClient(t, bed, s.key)
			_, err := client.Chat.Completions.New(context.Background(), question(s.model))
			var refused *openai.Error
			if !errors.As(err, &refused) || refused.StatusCode != s.status || refused.Code != s.code {
				t.Errorf("%s: %v", s.name, err)
			}
		}
	})
}

// A stream that its engine breaks for good ends in an error of the client.
func TestOpenAIClientSeesCutStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		asked := question(testbed.Model)
		asked.MaxTokens = openai.Int(100)
		stream := client.Chat.Completions.NewStreaming(context.Background(), asked)
		for tokens := 0; stream.Next(); tokens++ {
			if tokens == 3 {
				bed.Engines[0].CutAll()
			}
		}
		if stream.Err() == nil {
			t.Error("the client took a cut stream for a whole one")
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}

// A streamed answer that is whole says so in its last chunk, and tells what it
// used if it was asked.
func TestOpenAIClientSeesTheEndOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := started(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		asked := question(testbed.Model)
		asked.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(context.Background(), asked)
		var reasons []string
		var used int64
		for stream.Next() {
			chunk := stream.Current()
			for _, choice := range chunk.Choices {
				reasons = append(reasons, choice.FinishReason)
			}
			used += chunk.Usage.CompletionTokens
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if want := []string{"", "", "", "", "length"}; !slices.Equal(reasons, want) || used != 5 {
			t.Errorf("reasons %q, %d tokens used", reasons, used)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}
