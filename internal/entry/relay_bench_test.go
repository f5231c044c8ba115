package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// benchEngine returns an engine that streams the given number of tokens, flushes
// after each and reports an idle load.
func benchEngine(tokens int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"model":"m","model-version":"1","role":"serve"}`)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		out := http.NewResponseController(w)
		for i := range tokens {
			_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"text\":\"word \",\"finish_reason\":null}]}\n\n", id, i)
			_ = out.Flush()
		}
		_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id, tokens)
	})
	return mux
}

// startServer starts a server before engines that serve the model m, and as targets of the plain
// service p, to the key k, with a deadline for requests. The returned function ends it.
func startServer(tb testing.TB, deadline time.Duration, engines ...string) (address string, stop func()) {
	tb.Helper()
	store := config.NewStore()
	texts := []*wire.SectionEdit{
		{Id: "failure-domain d", Text: "[failure-domain d]\nkeepers = k@127.0.0.1:1\n"},
		{Id: "class c", Text: "[class c]\nidempotent = true\ndeadline = " + deadline.String() + "\n"},
		{Id: "service s", Text: "[service s]\nkind = generation\nmodel = m\ndefault-class = c\n"},
		{Id: "organisation o", Text: "[organisation o]\nkey-hashes = " + declaration.HashKey("k") + "\n"},
	}
	var plain []string // targets of the plain service
	for i, engine := range engines {
		id := fmt.Sprint("target t", i)
		text := "[" + id + "]\nkind = engine\nfailure-domain = d\nmodel = m\naddress = " + engine + "\n"
		texts = append(texts, &wire.SectionEdit{Id: id, Text: text})
		id = fmt.Sprint("target p", i)
		text = "[" + id + "]\nkind = plain\nfailure-domain = d\naddress = " + engine + "\n"
		texts = append(texts, &wire.SectionEdit{Id: id, Text: text})
		plain = append(plain, fmt.Sprint("p", i))
	}
	text := "[service p]\nkind = plain\ntargets = " + strings.Join(plain, ", ") + "\ndefault-class = c\n"
	texts = append(texts, &wire.SectionEdit{Id: "service p", Text: text})
	require.NoError(tb, store.Reset(1, texts))
	s, _ := settings.Parse("test", []byte("[instance]\nname = i\n[entry]\nload-interval = 10ms\nreadiness-delay = 0s\n"))
	shared := base.Base{Log: logr.Discard(), Settings: s, Timers: timer.New(), Metrics: telemetry.NewMetrics()}
	server := New(shared, store, nil, nil, evidence.New(shared), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := server.Run(ctx, listener)
	return listener.Addr().String(), func() {
		cancel()
		_ = server.httpServer.Close() // the test is over
		require.NoError(tb, <-done)
	}
}

// completionRequest returns a caller's request for a completion.
func completionRequest(tb testing.TB, address string, stream bool) *http.Request {
	tb.Helper()
	body := fmt.Sprintf(`{"model":"m","prompt":"p","stream":%t}`, stream)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	require.NoError(tb, err)
	r.Header.Set("Authorization", "Bearer k")
	return r
}

// BenchmarkRelay relays one stream over loopback; one operation is one token. Engine,
// entry and caller share the process, so the result is the cost of all three;
// scripts/capacity.sh measures the entry alone.
func BenchmarkRelay(b *testing.B) {
	engine := httptest.NewServer(benchEngine(b.N))
	defer engine.Close()
	address, stop := startServer(b, time.Minute, engine.Listener.Addr().String())
	r := completionRequest(b, address, true)
	b.ReportAllocs()
	b.ResetTimer()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	lines, tokens := bufio.NewScanner(response.Body), 0
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"word "`) {
			tokens++
		}
	}
	b.StopTimer()
	if err := response.Body.Close(); err != nil || tokens != b.N {
		b.Fatalf("%d of %d tokens: %v", tokens, b.N, err)
	}
	stop()
}
