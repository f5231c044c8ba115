package cli_test

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
)

// TestExplain checks that the history of a request holds its own lines, the newest state
// messages of its instance before it, and the lines about its targets meanwhile.
func TestExplain(t *testing.T) {
	var out, errOut bytes.Buffer
	code := cli.Run([]string{"explain", "r1", "testdata/explain/gateway.log", "testdata/explain/control.log"}, &out, &errOut)
	require.Equal(t, cli.ExitOK, code, errOut.String())
	times := regexp.MustCompile(`00:00:([0-9.]+)Z`).FindAllStringSubmatch(out.String(), -1)
	var got []string
	for _, m := range times {
		got = append(got, m[1])
	}
	require.Equal(t, []string{"01.500", "02.000", "02.500", "03.000", "03.020", "03.030", "03.040"}, got)
	require.Equal(t, cli.ExitFailed, cli.Run([]string{"explain", "r9", "testdata/explain/control.log"}, &out, &errOut))
}
