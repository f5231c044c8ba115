package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// loadOptions configures a load of concurrent streams.
type loadOptions struct {
	urls     []string
	key      string
	model    string
	streams  int
	requests int
	tokens   int
	pace     time.Duration
	path     string
}

func addLoad(app *kingpin.Application, out io.Writer) {
	c := app.Command("load", "Keep a number of streams open until all requests are answered, and report the tokens and the times to the first token.")
	o := &loadOptions{}
	c.Flag("url", "URLs of entry instances, or of an engine for comparison.").Required().StringsVar(&o.urls)
	c.Flag("key", "Key of the organisation.").Default("").StringVar(&o.key)
	c.Flag("model", "Model to request.").Default("").StringVar(&o.model)
	c.Flag("streams", "Number of concurrent streams.").Default("10").IntVar(&o.streams)
	c.Flag("requests", "Total number of requests.").Default("100").IntVar(&o.requests)
	c.Flag("tokens", "Tokens of each answer.").Default("100").IntVar(&o.tokens)
	c.Flag("pace", "Time between the starts of the first streams.").Default("2ms").DurationVar(&o.pace)
	c.Flag("path", "Path of a plain service to call in place of a generation.").Default("").StringVar(&o.path)
	c.Action(func(*kingpin.ParseContext) error { return runLoad(o, out) })
}

// loadResult aggregates the results of all streams.
type loadResult struct {
	tokens atomic.Int64
	failed atomic.Int64

	mu              sync.Mutex // guards firstTokenTimes
	firstTokenTimes []time.Duration
}

func runLoad(o *loadOptions, out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.streams}}
	result := &loadResult{}
	start := time.Now()
	lastStarted := atomic.Int64{}
	var streams sync.WaitGroup
	for range o.streams {
		streams.Go(func() {
			for n := lastStarted.Add(1); n <= int64(o.requests); n = lastStarted.Add(1) {
				o.stream(client, int(n), result)
			}
		})
		time.Sleep(o.pace)
	}
	streams.Wait()
	elapsed := time.Since(start)
	slices.Sort(result.firstTokenTimes)
	_, err := fmt.Fprintf(out, "requests %d failed %d tokens %d seconds %.2f tokens/s %.0f first-ms p50 %.2f p95 %.2f\n",
		o.requests, result.failed.Load(), result.tokens.Load(), elapsed.Seconds(), float64(result.tokens.Load())/elapsed.Seconds(),
		percentile(result.firstTokenTimes, 0.5), percentile(result.firstTokenTimes, 0.95))
	return err
}

func percentile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}

func (o *loadOptions) stream(client *http.Client, n int, result *loadResult) {
	url := o.urls[n%len(o.urls)]
	path, body := "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"Load %d. [tokens=%d]","stream":true}`, o.model, n, o.tokens)
	if o.path != "" {
		path, body = o.path, strconv.Itoa(n)
	}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		result.failed.Add(1)
		return
	}
	r.Header.Set("Authorization", "Bearer "+o.key)
	r.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d.1", time.Now().UnixNano(), n)) // engines use it as the generation's ID
	start := time.Now()
	response, err := client.Do(r)
	if err != nil {
		result.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	first := time.Duration(0)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if first == 0 {
			first = time.Since(start)
		}
		if strings.HasPrefix(lines.Text(), `data: {"id"`) {
			result.tokens.Add(1)
		}
	}
	if response.StatusCode != http.StatusOK || lines.Err() != nil {
		result.failed.Add(1)
		return
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	result.firstTokenTimes = append(result.firstTokenTimes, first)
}
