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

// openAIClient returns an unmodified OpenAI client for the first entry.
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

// chatRequest returns a request for an answer of five tokens.
func chatRequest(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("depth at berth 4?")},
	}
}

// TestOpenAIClient: an unmodified OpenAI client lists models and gets
// unstreamed and streamed answers.
func TestOpenAIClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		ctx := context.Background()

		models, err := client.Models.List(ctx)
		if err != nil || len(models.Data) != 1 || models.Data[0].ID != testbed.Model {
			t.Errorf("models %+v, error %v", models, err)
		}

		completion, err := client.Chat.Completions.New(ctx, chatRequest(testbed.Model))
		if err != nil || len(completion.Choices) != 1 || completion.Choices[0].Message.Content == "" || completion.Usage.CompletionTokens != 5 {
			t.Errorf("unstreamed answer %+v, error %v", completion, err)
		}

		stream := client.Chat.Completions.NewStreaming(ctx, chatRequest(testbed.Model))
		tokens := 0
		for stream.Next() {
			tokens += len(stream.Current().Choices)
		}
		if err := stream.Err(); err != nil || tokens != 5 {
			t.Errorf("%d streamed tokens, want 5; error %v", tokens, err)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestOpenAIClientRefusals: refusals reach the client as its own error type, with the expected status and code.
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
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		for _, s := range scenarios {
			client := openAIClient(t, bed, s.key)
			_, err := client.Chat.Completions.New(context.Background(), chatRequest(s.model))
			var apiError *openai.Error
			if !errors.As(err, &apiError) || apiError.StatusCode != s.status || apiError.Code != s.code {
				t.Errorf("%s: %v", s.name, err)
			}
		}
	})
}

// TestOpenAIClientSeesBrokenStream: a stream that its engine breaks and cannot resume ends with an error of the client.
func TestOpenAIClientSeesBrokenStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		request := chatRequest(testbed.Model)
		request.MaxTokens = openai.Int(100)
		stream := client.Chat.Completions.NewStreaming(context.Background(), request)
		for tokens := 0; stream.Next(); tokens++ {
			if tokens == 3 {
				bed.Engines[0].AbortAll()
			}
		}
		if stream.Err() == nil {
			t.Error("the client accepted a truncated stream as complete")
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestOpenAIClientSeesStreamEnd: a complete stream gives the finish reason in its last chunk and
// the usage if the request asked for it.
func TestOpenAIClientSeesStreamEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := startTestbed(t, testbed.Options{Entries: 1, Engines: engines(1), Slots: 2})
		client := openAIClient(t, bed, testbed.Key)
		request := chatRequest(testbed.Model)
		request.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(context.Background(), request)
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
			t.Errorf("finish reasons %q, %d completion tokens, want 5", reasons, used)
		}
		if err := stream.Close(); err != nil {
			t.Error(err)
		}
	})
}
