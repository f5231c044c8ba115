package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/loopbacktest"
	"github.com/vanillaward/vanillaward/platform/platformtest"
)

const (
	// callTimeout bounds one call of the test; limit bounds everything that the test waits for. Only a
	// process that hangs exceeds them.
	callTimeout  = 10 * time.Second
	limit        = time.Minute
	pollInterval = 50 * time.Millisecond
)

// process is one program of the system.
type process struct {
	role    string
	ip      string
	port    string  // where it serves callers or operators
	request request // legal there
	command *exec.Cmd
	exited  chan struct{}
}

func (p *process) address() string { return p.ip + ":" + p.port }

// deployment is a control process, a gateway and a plain service.
type deployment struct {
	client  *http.Client
	fleet   *platformtest.Fleet
	control *process
	gateway *process
	version uint64
}

// startDeployment starts the processes and waits until they serve.
func startDeployment(t testing.TB, binary string) *deployment {
	t.Helper()
	prefix := loopbacktest.Reserve(t)
	fleet, err := platformtest.NewFleet(prefix + "200")
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	_, err = fleet.Start(platformtest.Spec{IP: prefix + "201", ID: "plain", Service: platformtest.PlainService, Domain: "zone"})
	require.NoError(t, err)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	d := &deployment{
		client: client, fleet: fleet,
		control: &process{role: "control", ip: prefix + "10", port: platformtest.OperatorPort, request: request{
			line: platformtest.ConfigHead, body: configurationBytes,
		}},
		gateway: &process{role: "gateway", ip: prefix + "20", port: platformtest.CallerPort, request: request{
			line: fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", platformtest.SafePath, platformtest.Host, platformtest.Key), body: bodyBytes,
		}},
	}
	d.start(t, binary, d.control)
	d.start(t, binary, d.gateway)
	d.await(t, "the deployment serves", d.serves)
	return d
}

// start starts a process with the settings of a deployment, and ends it with the test.
func (d *deployment) start(t testing.TB, binary string, p *process) {
	t.Helper()
	folder := t.TempDir()
	values := platformtest.ProcessSettings{
		Name: p.role, Domain: "zone", IP: p.ip, Folder: filepath.Join(folder, "data"), Seeds: []string{d.control.address()},
		List: d.fleet.Address(), Bootstrap: true,
	}
	text, err := values.Settings(filepath.Join("..", "..", "deploy", p.role+".ini"))
	require.NoError(t, err)
	file := filepath.Join(folder, "settings.ini")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	var output bytes.Buffer
	p.command = exec.Command(binary, "run", "--settings", file)
	p.command.Stdout, p.command.Stderr = &output, &output
	require.NoError(t, p.command.Start())
	p.exited = make(chan struct{})
	go func() {
		_ = p.command.Wait() // the test checks that the process is alive
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have exited
		select {
		case <-p.exited:
		case <-time.After(callTimeout):
			_ = p.command.Process.Kill()
			<-p.exited
		}
		if t.Failed() {
			log := output.String()
			t.Logf("last lines of the %s:\n%s", p.role, log[max(0, len(log)-4000):])
		}
	})
}

// serves reports whether both processes answer one ordinary request each.
func (d *deployment) serves() bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	d.version++
	configuration := strings.Replace(platformtest.Configuration(d.version, "/once/"), `"max_body_bytes":1000000`, fmt.Sprintf(`"max_body_bytes":%d`, bodyBytes), 1)
	if status, err := platformtest.PutConfiguration(ctx, d.client, d.control.address(), configuration); err != nil || status != http.StatusOK {
		return false
	}
	request := platformtest.Request{ID: fmt.Sprintf("%015d0", d.version), Path: platformtest.SafePath + "x", Body: "body", Budget: callTimeout}
	answer := platformtest.Send(ctx, d.client, d.gateway.address(), request)
	return answer.Complete() && answer.Status == http.StatusOK && answer.Body == platformtest.PlainAnswer(request.ID, platformtest.Organisation, request.Body)
}

// await waits until a condition holds. If it does not, the test fails and goes on, so that it shows the other
// figures too.
func (d *deployment) await(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		d.requireAlive(t)
		if time.Now().After(deadline) {
			t.Errorf("not reached: %s", what)
			return
		}
	}
}

// requireAlive fails the test if a process has exited.
func (d *deployment) requireAlive(t testing.TB) {
	t.Helper()
	for _, p := range []*process{d.control, d.gateway} {
		select {
		case <-p.exited:
			t.Fatalf("%s exited: %s", p.role, p.command.ProcessState)
		default:
		}
	}
}

// memory returns a value of the process's status in bytes: VmHWM is its peak resident memory, VmRSS the present one.
func (p *process) memory(t testing.TB, name string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), name+":")
	require.True(t, found)
	line, _, _ := strings.Cut(rest, " kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(line))
	require.NoError(t, err)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors(t testing.TB) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}
