package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// call is one request of a demonstration.
type call struct {
	name   string
	class  string // empty for the service's default
	method string
	path   string
	body   string
}

const callFields = 5

func readCalls(file string) ([]call, error) {
	f, err := os.Open(file) //nolint:gosec // the operator chooses the file
	if err != nil {
		return nil, errors.Wrap(err, "requests")
	}
	defer func() { _ = f.Close() }() // the file was only read
	var out []call
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		fields := strings.SplitN(lines.Text(), "\t", callFields)
		if len(fields) != callFields {
			return nil, errors.Errorf("%s:%d: got %d fields, want %d", file, n, len(fields), callFields)
		}
		out = append(out, call{fields[0], fields[1], fields[2], fields[3], fields[4]})
	}
	return out, lines.Err()
}

type caller struct {
	url     string
	key     string
	timeout time.Duration
	out     io.Writer
}

// send makes one request and prints its answer, its duration and the instance and
// target that served it. It returns an error unless the answer is complete.
func (c *caller) send(request call) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, request.method, c.url+request.path, strings.NewReader(request.body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if request.class != "" {
		r.Header.Set("Vanillaward-Class", request.class)
	}
	start := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	answer := &answer{}
	if err := answer.read(response.Body, start); err != nil {
		return err
	}
	outcome := response.Header.Get("Vanillaward-Outcome")
	if outcome == "" {
		outcome = response.Trailer.Get("Vanillaward-Outcome")
	}
	_, err = fmt.Fprintf(c.out, "%-8s %d %s, %d events, first after %s, whole after %s, instance %s, target %s\n         %s\n",
		request.name, response.StatusCode, outcome, answer.events, answer.first.Round(time.Millisecond),
		time.Since(start).Round(time.Millisecond), response.Header.Get("Vanillaward-Instance"),
		response.Header.Get("Vanillaward-Target"), shorten(answer.text.String()))
	if err == nil && (response.StatusCode != http.StatusOK || outcome != "complete") {
		err = errors.Errorf("status %d, outcome %q", response.StatusCode, outcome)
	}
	return err
}

// answer holds the text of a response body, its number of events and the time
// until its first line.
type answer struct {
	text   strings.Builder
	events int
	first  time.Duration
}

func (a *answer) read(body io.Reader, start time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if a.first == 0 {
			a.first = time.Since(start)
		}
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		if isEvent {
			a.events++
			if _, text, ok := strings.Cut(data, `"text":"`); ok {
				data, _, _ = strings.Cut(text, `"`)
			} else {
				data = ""
			}
		}
		a.text.WriteString(data)
	}
	return lines.Err()
}

const maxShownBytes = 160

func shorten(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return s[:maxShownBytes] + "..."
}
