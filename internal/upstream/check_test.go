package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStrictRefusesOddAnswers guards against answers that are none, of testdata/odd-answers.txt, which clients of net/http
// take for reports, lists, answers to orders and answers for callers.
func TestStrictRefusesOddAnswers(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "odd-answers.txt"))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, quoted, found := strings.Cut(lines.Text(), ": ")
		if strings.HasPrefix(name, "#") || !found {
			continue
		}
		answer, err := strconv.Unquote(quoted)
		require.NoError(t, err)
		t.Run(name, func(t *testing.T) { require.Error(t, get(t, strings.ReplaceAll(answer, "ID", "Id: x"))) })
	}
	require.NoError(t, get(t, "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nName: x\r\n\r\n"))
}

// get asks a target that answers with the given bytes, and returns the error of the call or of reading its body.
func get(t *testing.T, answer string) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}()
	client := &http.Client{Transport: Strict(&http.Transport{DisableKeepAlives: true})}
	response, err := client.Get("http://" + listener.Addr().String())
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
