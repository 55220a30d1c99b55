package caller_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"net/http"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/standin"
)

// officialClient runs f with OpenAI's Go client against a site in virtual time.
func officialClient(t *testing.T, f func(t *testing.T, s *site.Site, c openai.Client)) {
	synctest.Test(t, func(t *testing.T) {
		cfg := site.Default()
		cfg.Network = site.NewMemory()
		s, err := site.Start(cfg)
		require.NoError(t, err)
		defer s.Close()
		require.NoError(t, s.AwaitMembers(t.Context()))
		time.Sleep(time.Second)
		rt := s.Transport()
		defer rt.CloseIdleConnections()
		c := openai.NewClient(
			option.WithBaseURL("http://"+s.Nodes[0].Callers+"/v1/"),
			option.WithAPIKey(site.KeyOf("clerks")),
			option.WithHTTPClient(&http.Client{Transport: rt}),
		)
		f(t, s, c)
	})
}

func chatParams(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "draft-large",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Summarise the incident.")},
		MaxCompletionTokens: openai.Int(tokens),
	}
}

const chatPrompt = "user: Summarise the incident.\n"

func TestOfficialClientChatCompletion(t *testing.T) {
	officialClient(t, func(t *testing.T, _ *site.Site, c openai.Client) {
		answer, err := c.Chat.Completions.New(t.Context(), chatParams(12))
		require.NoError(t, err)
		v := standin.Check(chatPrompt, answer.Choices[0].Message.Content)
		require.True(t, v.OK(), "%+v", v)
		require.Equal(t, 12, v.Tokens)
		require.EqualValues(t, 12, answer.Usage.CompletionTokens)
		require.Equal(t, "length", answer.Choices[0].FinishReason)
	})
}

func TestOfficialClientStreamSurvivesEngineCrash(t *testing.T) {
	officialClient(t, func(t *testing.T, s *site.Site, c openai.Client) {
		for _, e := range s.Engines {
			e.SetFault(standin.Fault{Kind: standin.FaultDie, AtToken: 15})
		}
		stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams(40))
		var text strings.Builder
		for stream.Next() {
			chunk := stream.Current()
			if len(chunk.Choices) > 0 {
				text.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		v := standin.Check(chatPrompt, text.String())
		require.True(t, v.OK(), "%+v", v)
		require.Equal(t, 40, v.Tokens)
	})
}

func TestOfficialClientParsesErrors(t *testing.T) {
	officialClient(t, func(t *testing.T, _ *site.Site, c openai.Client) {
		params := chatParams(4)
		params.Model = "nonesuch"
		_, err := c.Chat.Completions.New(context.Background(), params)
		var apiErr *openai.Error
		require.ErrorAs(t, err, &apiErr)
		require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
		require.Equal(t, "2002", apiErr.Code)
	})
}

func TestOfficialClientCompletions(t *testing.T) {
	officialClient(t, func(t *testing.T, _ *site.Site, c openai.Client) {
		answer, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:     "draft-large",
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("Harbour log")},
			MaxTokens: openai.Int(7),
		})
		require.NoError(t, err)
		v := standin.Check("Harbour log", answer.Choices[0].Text)
		require.True(t, v.OK(), "%+v", v)
		require.Equal(t, 7, v.Tokens)
	})
}
