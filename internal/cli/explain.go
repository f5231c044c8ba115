package cli

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// startedMessage is logged when a process starts. The process then has no state from an
// earlier run.
const startedMessage = "started"

// stateMessages are the log messages that report an instance's last known state. A decision
// is based on the newest line of each message that precedes the decision.
var stateMessages = []string{startedMessage, "configuration in force", "targets", "control lost", "control regained", "settings read again", "stopping"}

// logLine is one line of a log.
type logLine struct {
	time     string
	instance string
	message  string
	request  string
	target   string
	text     string
}

func (t *tool) addExplain(app *kingpin.Application) {
	c := app.Command("explain", "Read the logs of several instances and print the history of one request in order of time: its own lines, the last known state of its instance when it arrived there, and the lines about its targets.")
	request := c.Arg("request", "Identity of the request.").Required().String()
	files := c.Arg("file", "Log files.").Required().Strings()
	c.Action(func(*kingpin.ParseContext) error {
		var lines []logLine
		for _, name := range *files {
			read, err := readLog(name)
			if err != nil {
				return err
			}
			lines = append(lines, read...)
		}
		history := explain(lines, *request)
		if len(history) == 0 {
			return errors.Errorf("none of %d log lines mentions request %s", len(lines), *request)
		}
		return t.print(texts(history), func(w io.Writer) {
			for _, l := range history {
				writeLine(w, "%s", l.text)
			}
		})
	})
}

func readLog(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }() // the file was only read
	var out []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(scanner.Err(), name)
}

// parseLogLine parses the JSON object of a line, after a prefix if there is one. It
// reports false for other lines, such as those of a crash report.
func parseLogLine(text string) (logLine, bool) {
	start := strings.Index(text, "{")
	if start < 0 {
		return logLine{}, false
	}
	var fields struct {
		Time     string `json:"ts"`
		Message  string `json:"msg"`
		Instance string `json:"instance"`
		Request  string `json:"request"`
		Target   string `json:"target"`
	}
	if json.Unmarshal([]byte(text[start:]), &fields) != nil || fields.Message == "" {
		return logLine{}, false
	}
	return logLine{
		time: fields.Time, instance: fields.Instance, message: fields.Message, request: fields.Request,
		target: fields.Target, text: text[start:],
	}, true
}

// explain returns the lines of a request, the last known state of its instance before the
// first of them, and the state messages of that instance and the lines about the request's
// targets that were logged meanwhile, in order of time.
func explain(lines []logLine, request string) []logLine {
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	var requestLines []int
	targets := map[string]bool{}
	for i, l := range lines {
		if l.request == request {
			requestLines = append(requestLines, i)
			if l.target != "" {
				targets[l.target] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	first, last := requestLines[0], requestLines[len(requestLines)-1]
	keep := map[int]bool{}
	for _, i := range requestLines {
		keep[i] = true
	}
	for _, i := range lastKnownState(lines[:first], lines[first].instance) {
		keep[i] = true
	}
	for i := first; i <= last; i++ {
		l := lines[i]
		if l.request == "" && (targets[l.target] && l.target != "" || l.instance == lines[first].instance && slices.Contains(stateMessages, l.message)) {
			keep[i] = true
		}
	}
	var out []logLine
	for i, l := range lines {
		if keep[i] {
			out = append(out, l)
		}
	}
	return out
}

// lastKnownState returns the indexes of the newest line of each state message that an instance
// logged since its last start.
func lastKnownState(lines []logLine, instance string) []int {
	newest := map[string]int{}
	for i, l := range lines {
		if l.instance != instance || !slices.Contains(stateMessages, l.message) {
			continue
		}
		if l.message == startedMessage {
			clear(newest)
		}
		newest[l.message] = i
	}
	var out []int
	for _, i := range newest {
		out = append(out, i)
	}
	return out
}

func texts(lines []logLine) []json.RawMessage {
	out := make([]json.RawMessage, len(lines))
	for i, l := range lines {
		out[i] = json.RawMessage(l.text)
	}
	return out
}
