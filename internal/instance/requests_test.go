package instance_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/engine"
	"github.com/vanillaward/vanillaward/internal/standin"
)

// expectedText returns the text that a stand-in engine generates for a prompt and a
// seed.
func expectedText(prompt string, seed int64, tokens int) string {
	quoted, _ := json.Marshal(prompt)
	text := engine.NewText(string(quoted), seed)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(text.Token(i))
	}
	return b.String()
}

// streamedText returns the concatenated text of a stream's events.
func streamedText(t *testing.T, body string) string {
	t.Helper()
	var b strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		require.NoError(t, json.Unmarshal([]byte(data), &event))
		if len(event.Choices) > 0 {
			b.WriteString(event.Choices[0].Text)
		}
	}
	return b.String()
}

func streamRequest(prompt string, seed int) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"seed":%d,"stream":true}`, prompt, seed)
}

func (d *deployment) injectFault(target string, f standin.Faults) {
	if e := d.host.Engine(target); e != nil {
		e.SetFaults(f)
		return
	}
	d.host.Plain(target).SetFaults(f)
}

func (d *deployment) injectEngineFaults(f standin.Faults) {
	for i := range 3 {
		d.injectFault(fmt.Sprintf("engine-%d", i+1), f)
	}
}

// TestOpenAIClientLibrary sends requests with the OpenAI client library, with and
// without streaming, and cancels a stream.
func TestOpenAIClientLibrary(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	client := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL("http://"+d.instances["a-1"].ip+":8100/v1"))
	ctx := context.Background()
	prompt := "Tag this. [tokens=5]"

	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model: "m", Seed: openai.Int(7), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	require.NoError(t, err)
	require.Equal(t, expectedText(prompt, 7, 5), completion.Choices[0].Text)
	require.EqualValues(t, 5, completion.Usage.CompletionTokens)

	chat := openai.ChatCompletionNewParams{Model: "m", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)}}
	chatCompletion, err := client.Chat.Completions.New(ctx, chat)
	require.NoError(t, err)
	require.NotEmpty(t, chatCompletion.Choices[0].Message.Content)

	stream := client.Chat.Completions.NewStreaming(ctx, chat)
	chunks := 0
	for stream.Next() {
		chunks++
	}
	require.NoError(t, stream.Err())
	require.Equal(t, 6, chunks, "five tokens and the closing chunk")

	cancelled, cancel := context.WithCancel(ctx)
	long := client.Completions.NewStreaming(cancelled, openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Long. [tokens=100000]")},
	})
	require.True(t, long.Next())
	cancel()
	received := 1
	for long.Next() { // events that had arrived before
		received++
	}
	require.ErrorIs(t, long.Err(), context.Canceled)
	require.Less(t, received, 100000, "the stream ends before its last token")
	d.await("the engine stops the cancelled generation", func() bool {
		open := 0
		for i := range 3 {
			open += d.host.Engine(fmt.Sprintf("engine-%d", i+1)).OpenGenerations()
		}
		return open == 0
	})
}

// TestBadInput sends invalid requests. Each must get its status and an error in
// OpenAI's format, and none may reach a target.
func TestBadInput(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	cases := []struct {
		name   string
		path   string
		body   string
		header map[string]string
		status int
		code   string
	}{
		{"malformed JSON", "/v1/completions", `{"model":`, nil, 400, "malformed_json"},
		{"not an object", "/v1/completions", `[1]`, nil, 400, "malformed_json"},
		{"field of a wrong type", "/v1/completions", `{"model":7}`, nil, 400, "invalid_request"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "model_not_found"},
		{"no prompt", "/v1/completions", `{"model":"m"}`, nil, 400, "invalid_request"},
		{"negative bound", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":-1}`, nil, 400, "invalid_request"},
		{"unknown class", "/v1/completions", `{"model":"m","prompt":"p"}`, map[string]string{"Vanillaward-Class": "x"}, 400, "class_not_found"},
		{"unknown key", "/v1/completions", `{}`, map[string]string{"Authorization": "Bearer x"}, 401, "invalid_api_key"},
		{"no key", "/v1/completions", `{}`, map[string]string{"Authorization": ""}, 401, "invalid_api_key"},
		{"body over the bound", "/v1/completions", `{"prompt":"` + strings.Repeat("x", 70000) + `"}`, nil, 413, "body_too_large"},
		{"unknown service", "/services/x/y", ``, nil, 404, "service_not_found"},
		{"generation service called as a plain one", "/services/text/y", ``, nil, 404, "service_not_found"},
		{"key that is too long", "/services/bookings/y", ``, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "invalid_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := d.send("a-1", http.MethodPost, c.path, c.body, c.header)
			require.NoError(t, a.err)
			require.Equal(t, c.status, a.status, a.body)
			var problem struct {
				Error struct {
					Code    string `json:"code"`
					Message string `json:"message"`
					Type    string `json:"type"`
				} `json:"error"`
			}
			require.NoError(t, json.Unmarshal([]byte(a.body), &problem))
			require.Equal(t, c.code, problem.Error.Code)
			require.NotEmpty(t, problem.Error.Message)
			require.Equal(t, "not-run", a.outcome())
		})
	}
	require.Empty(t, d.host.Plain("plain-1").Runs())
}

// TestNoGoroutineLeak checks that no goroutine of a request is left after bursts of
// callers that disconnect in the middle of a stream.
func TestNoGoroutineLeak(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	first := d.send("a-1", http.MethodPost, "/v1/completions", streamRequest("warm [tokens=3]", 1), nil)
	require.Equal(t, "complete", first.outcome())
	for range 5 {
		d.disconnectCallers(20)
	}
	d.await("no goroutine of a request is left", func() bool { return requestGoroutines() == 0 })
}

// requestGoroutines counts the goroutines that work on a request, at the entry or
// at a stand-in. Idle keep-alive connections have none of these frames.
func requestGoroutines() int {
	stacks := make([]byte, 4<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	n := 0
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		for _, frame := range []string{"entry.(*Server).generate", "entry.(*generation)", "entry.(*plainCall)", "standin.(*Engine).stream"} {
			if strings.Contains(stack, frame) {
				n++
				break
			}
		}
	}
	return n
}

// disconnectCallers starts n callers that disconnect in the middle of long streams,
// and waits until the engines have stopped the generations.
func (d *deployment) disconnectCallers(n int) {
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+d.instances["a-1"].ip+":8100/v1/completions",
				strings.NewReader(streamRequest("gone [tokens=100000]", 1)))
			if err != nil {
				return
			}
			r.Header.Set("Authorization", "Bearer "+testKey)
			response, err := client.Do(r)
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, response.Body, 500)
			_ = response.Body.Close()
		})
	}
	wg.Wait()
	transport.CloseIdleConnections()
	d.await("the engines stop the abandoned generations", func() bool { return d.host.OpenGenerations() == 0 })
}

// TestStreamFaults injects faults into streams and checks that the caller gets the
// complete text.
func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name    string
		class   string
		faults  standin.Faults
		outcome string
	}{
		{"a link stalls and is resumed", "live", standin.Faults{StallAfter: 10}, "complete"},
		{"a link breaks and is resumed", "live", standin.Faults{AbortAfter: 10}, "complete"},
		{"tokens of another generation are mixed in", "live", standin.Faults{Crossed: true}, "complete"},
		{"delivery whole over a stalled link", "recap", standin.Faults{StallAfter: 10}, "complete"},
		{"delivery whole over a broken link", "recap", standin.Faults{AbortAfter: 10}, "complete"},
		{"delivery whole with tokens of another generation", "recap", standin.Faults{Crossed: true}, "complete"},
	}
	d := newDeployment(t, map[string]int{"a": 1})
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d.injectEngineFaults(c.faults)
			prompt := fmt.Sprintf("Recap %d. [tokens=60]", i)
			a := d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(prompt, 5), map[string]string{"Vanillaward-Class": c.class})
			require.NoError(t, a.err)
			require.Equal(t, c.outcome, a.outcome(), tail(a.body))
			require.Equal(t, expectedText(prompt, 5, 60), streamedText(t, a.body))
			d.injectEngineFaults(standin.Faults{})
		})
	}
	d.checkTraces()
}

// TestEngineLost kills the engine of a running generation. The generation must run
// again at another engine; a stream whose second run differs must end as
// incomplete.
func TestEngineLost(t *testing.T) {
	cases := []struct {
		name             string
		class            string
		nondeterministic bool
		outcome          string
	}{
		{"a stream is run again and compared", "live", false, "complete"},
		{"a stream whose second run differs ends as incomplete", "live", true, "incomplete"},
		{"an answer delivered whole is run again", "recap", false, "complete"},
		{"an answer delivered whole may come from any run", "recap", true, "complete"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, map[string]int{"a": 1})
			d.injectEngineFaults(standin.Faults{Nondeterministic: c.nondeterministic})
			prompt := "Write up the cove. [tokens=200]"
			got := make(chan answer, 1)
			go func() {
				got <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(prompt, 9), map[string]string{"Vanillaward-Class": c.class})
			}()
			killed := ""
			d.await("an engine has written some tokens", func() bool {
				for i := range 3 {
					name := fmt.Sprintf("engine-%d", i+1)
					if d.host.Engine(name).GeneratedTokens() > 20 {
						killed = name
					}
				}
				return killed != ""
			})
			d.injectFault(killed, standin.Faults{Dead: true})
			a := <-got
			require.NoError(t, a.err)
			require.Equal(t, c.outcome, a.outcome(), tail(a.body))
			if !c.nondeterministic {
				require.Equal(t, expectedText(prompt, 9, 200), streamedText(t, a.body))
			}
			if c.outcome == "incomplete" {
				require.Contains(t, a.body, `"code":"second_run_differs"`)
				require.NotContains(t, a.body, "[DONE]")
			}
			d.checkTraces()
		})
	}
}

// TestLeavingTarget checks that a target that reports that it is leaving gets no new
// work, although the platform's list still shows it as live.
func TestLeavingTarget(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	d.injectFault("engine-1", standin.Faults{Leaving: true})
	time.Sleep(time.Second) // less than the leave-bound, which is 3 s
	before := d.host.Engine("engine-1").Arrivals()
	for i := range 30 {
		a := d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(fmt.Sprintf("%d [tokens=2]", i), 1), nil)
		require.Equal(t, "complete", a.outcome())
	}
	require.Equal(t, before, d.host.Engine("engine-1").Arrivals())
}

// TestGracefulStop stops an instance during streams and a booking. All must
// complete.
func TestGracefulStop(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 2})
	d.injectFault("plain-1", standin.Faults{LateMillis: 400})
	answers := make(chan answer, 9)
	d.injectEngineFaults(standin.Faults{Frozen: true}) // no stream ends before all have begun
	for i := range 8 {
		class := []string{"live", "recap"}[i%2]
		go func() {
			answers <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest(fmt.Sprintf("%d [tokens=300]", i), 2), map[string]string{"Vanillaward-Class": class})
		}()
	}
	go func() { answers <- d.book("a-1", "stop", "") }()
	d.await("all streams run", func() bool { return d.host.OpenGenerations() >= 8 })
	d.injectEngineFaults(standin.Faults{})
	d.shutdown("a-1")
	for range 9 {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, "complete", a.outcome(), tail(a.body))
	}
	require.Equal(t, 1, d.bookingRuns("stop"))
	d.checkTraces()
}

// TestOrganisationLimit checks that a request above an organisation's limit of open
// requests is refused at once with the outcome not-run.
func TestOrganisationLimit(t *testing.T) {
	d := newDeployment(t, map[string]int{"a": 1})
	header := map[string]string{"Authorization": "Bearer " + otherKey}
	first := make(chan answer, 1)
	go func() {
		first <- d.send("a-1", http.MethodPost, "/v1/completions", streamRequest("[tokens=200]", 1), header)
	}()
	d.await("the first request runs", func() bool { return d.host.OpenGenerations() == 1 })
	second := d.send("a-1", http.MethodPost, "/v1/completions", streamRequest("[tokens=2]", 1), header)
	require.Equal(t, http.StatusTooManyRequests, second.status)
	require.Equal(t, "not-run", second.outcome())
	require.NotEmpty(t, second.header.Get("Retry-After"))
	require.Equal(t, "complete", (<-first).outcome())
}

// tail returns the last 300 bytes of a body, for messages of failed assertions.
func tail(body string) string { return body[max(0, len(body)-300):] }
