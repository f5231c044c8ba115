package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/gateway"
)

const (
	whereTimeout = 5 * time.Second
	// maxWhereBytes bounds an answer that is read.
	maxWhereBytes = 1 << 20
)

func (t *tool) addWhere(app *kingpin.Application) {
	c := app.Command("where", "Ask a gateway where it would send a request now, and why: the route, the service, what is known of each target and how old that is, what excludes it, and whether the request would be refused. Nothing is sent to targets.")
	health := c.Flag("health", "Health address of the gateway as ip:port.").Envar("VANILLAWARD_HEALTH").Required().String()
	host := c.Flag("host", "Host of the request.").Required().String()
	path := c.Flag("path", "Path of the request.").Default("/").String()
	organisation := c.Flag("organisation", "Name of the caller's organisation.").String()
	prompt := c.Flag("prompt-tokens", "Size of the prompt in tokens.").Int()
	output := c.Flag("output-tokens", "Expected size of the output in tokens.").Int()
	c.Action(func(*kingpin.ParseContext) error {
		answer, err := askWhere(*health, url.Values{
			"host": {*host}, "path": {*path}, "organisation": {*organisation},
			"prompt-tokens": {strconv.Itoa(*prompt)}, "output-tokens": {strconv.Itoa(*output)},
		})
		if err != nil {
			return err
		}
		return t.print(answer, func(w io.Writer) { writeWhere(w, answer) })
	})
}

func askWhere(address string, question url.Values) (*gateway.Where, error) {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: gateway.PathWhere, RawQuery: question.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "health address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhereBytes))
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the gateway answers %s: %.200s", response.Status, strings.TrimSpace(string(data)))
	}
	answer := &gateway.Where{}
	return answer, errors.Wrap(json.Unmarshal(data, answer), "answer of the gateway")
}

func writeWhere(w io.Writer, a *gateway.Where) {
	outcome := a.Outcome
	if a.Reason != "" {
		outcome += ", " + a.Reason
	}
	if a.RetryAfterMs > 0 {
		outcome += fmt.Sprintf(", to be sent again after %d ms", a.RetryAfterMs)
	}
	writeLine(w, "%s: %s, route %s, service %s, %d tokens", a.Instance, outcome, orNone(a.Route), orNone(a.Service), a.Tokens)
	writeLine(w, "%d instances choose, known as of %d ms ago; the choice provides for %.1f requests sent since", a.Instances, a.InformationAgeMs, a.Unseen)
	for _, t := range a.Targets {
		verdict := fmt.Sprintf("%.1f%%", 100*t.Probability)
		if t.Excluded != "" {
			verdict = t.Excluded
		}
		report := "no report"
		if t.Report {
			report = fmt.Sprintf("report of %d ms ago: %d running, %d waiting, memory %d%%, speed %d%%", t.ReportAgeMs, t.Running, t.Waiting, t.MemoryPercent, t.SpeedPercent)
		}
		cold := ""
		if t.ColdMs > 0 {
			cold = fmt.Sprintf(", cold for %d ms", t.ColdMs)
		}
		writeLine(w, "%-17s %-24s %-10s score %.2f%s; %s; own %d, others %d, %d prompt tokens%s",
			verdict, t.Target, t.Domain, t.Score, scoreParts(t), report, t.Open, t.Others, t.Prefilling, cold)
	}
	if a.Omitted > 0 {
		writeLine(w, "%d further targets", a.Omitted)
	}
}

func orNone(s string) string { return cmp.Or(s, "none") }

// scoreParts returns the parts of a target's score that are not 0.
func scoreParts(t gateway.WhereTarget) string {
	var parts []string
	p := t.Parts
	for _, part := range []struct {
		name  string
		value float64
	}{
		{"load", p.Load},
		{"prompts", p.Prompts},
		{"batch", p.Batch},
		{"waiting", p.Waiting},
		{"request", p.Request},
		{"memory", p.Memory},
		{"failures", p.Failures},
		{"other domain", p.Domain},
		{"partitioned", p.Partition},
		{"warm-up", p.Warmup},
		{"ejected", p.Ejected},
	} {
		if part.value > 0 {
			parts = append(parts, fmt.Sprintf("%s %.2f", part.name, part.value))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
