package cli_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
)

const whereAnswer = `{"instance":"g1","outcome":"refused","reason":"crowded","retry-after-ms":800,"route":"long","service":"s","tokens":3376,
"instances":79,"information-age-ms":12,"unseen":4.5,"omitted":0,"targets":[
{"target":"e1","failure-domain":"z1","probability":0.25,"score":0.61,"parts":{"prompts":0.2,"request":0.41},"open":1,"others":3,"report":true,"report-age-ms":640,"running":4,"waiting":1,"memory-percent":71,"prefilling":3000,"speed-percent":170},
{"target":"e2","failure-domain":"z2","excluded":"leaving","score":0.9,"parts":{"other-domain":0.5,"request":0.4}}]}`

// TestWhere: the command asks with what it was given and prints one line for each target with what speaks for or
// against it.
func TestWhere(t *testing.T) {
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		_, _ = w.Write([]byte(whereAnswer))
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	args := []string{"where", "--health", server.Listener.Addr().String(), "--host", "h", "--path", "/long/x", "--organisation", "o", "--prompt-tokens", "3000", "--output-tokens", "752"}
	require.Equal(t, cli.ExitOK, cli.Run(args, &out, &errOut), errOut.String())
	require.Equal(t, "/where?host=h&organisation=o&output-tokens=752&path=%2Flong%2Fx&prompt-tokens=3000", asked)
	require.Contains(t, out.String(), "refused, crowded, to be sent again after 800 ms, route long")
	require.Regexp(t, `25.0% +e1 +z1 +score 0.61 \(prompts 0.20, request 0.41\); report of 640 ms ago: 4 running, 1 waiting, memory 71%, speed 170%`, out.String())
	require.Regexp(t, `leaving +e2 +z2 +score 0.90 .*no report`, out.String())
	out.Reset()
	require.Equal(t, cli.ExitOK, cli.Run(append([]string{"--output", "json"}, args...), &out, &errOut), errOut.String())
	require.Contains(t, out.String(), `"excluded"`)
}
