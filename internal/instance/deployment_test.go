package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/cli"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/instance"
	"github.com/vanillaward/vanillaward/internal/loopbacktest"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/standin"
	"github.com/vanillaward/vanillaward/internal/trace"
)

const (
	testKey     = "demo-key-club"
	otherKey    = "demo-key-other"
	waitTimeout = 30 * time.Second
	// plainTargets is the number of plain targets: two for bookings and lookups, the rest for reports.
	plainTargets = 6
)

// deployment is a complete deployment in the test process: instances with their
// credentials and data folders, and the stand-ins.
type deployment struct {
	t         *testing.T
	folder    string
	network   string // first three octets of all IP addresses, with a trailing dot
	instances map[string]*testInstance
	names     []string
	host      *standin.Host
	stopHost  context.CancelFunc
	hostDone  <-chan error
	binary    string // if set, each instance runs as a separate process of this program
}

// testInstance is one instance of a deployment.
type testInstance struct {
	name    string
	domain  string
	ip      string
	control bool
	stop    chan struct{}
	kill    context.CancelFunc
	done    chan error
	process *os.Process
}

// newDeployment starts the given number of instances per failure domain, named by
// failure domain and number, and waits until all of them serve. The first three
// instances replicate the configuration.
func newDeployment(t *testing.T, domains map[string]int) *deployment {
	t.Helper()
	return newDeploymentWithBinary(t, domains, "")
}

func newDeploymentWithBinary(t *testing.T, domains map[string]int, binary string) *deployment {
	t.Helper()
	d := &deployment{
		t: t, binary: binary, folder: t.TempDir(), instances: map[string]*testInstance{},
		network: loopbacktest.Reserve(t),
	}
	require.NoError(t, peer.WriteAuthority(filepath.Join(d.folder, "authority")))
	d.writeCredentials("operator", peer.RoleOperator)
	for _, domain := range []string{"a", "b"} {
		for i := range domains[domain] {
			n := len(d.names)
			r := &testInstance{name: fmt.Sprintf("%s-%d", domain, i+1), domain: domain, ip: fmt.Sprint(d.network, n+1), control: n < 3}
			d.instances[r.name] = r
			d.names = append(d.names, r.name)
			d.writeCredentials(r.name, peer.RoleInstance)
		}
	}
	d.startHost()
	t.Cleanup(d.close)
	for _, name := range d.names {
		d.start(name)
	}
	d.await("replicas", func() bool { return d.runOperator("replica", "init") == cli.ExitOK })
	require.Equal(t, cli.ExitOK, d.apply("first"))
	for _, name := range d.names {
		d.awaitReady(name)
	}
	return d
}

func (d *deployment) writeCredentials(name string, role peer.Role) {
	folder := filepath.Join(d.folder, "credentials", name)
	require.NoError(d.t, peer.WriteCredentials(folder, filepath.Join(d.folder, "authority"), name, role))
}

func (d *deployment) startHost() {
	require.NoError(d.t, os.WriteFile(d.file("declarations.ini"), []byte(d.declarations("")), 0o600))
	sections, findings := declaration.Parse("declarations.ini", []byte(d.declarations("")))
	require.NoError(d.t, findings.Err())
	set, findings := declaration.Build(1, sections, nil)
	require.NoError(d.t, findings.Err())
	ctx, cancel := context.WithCancel(context.Background())
	d.host = standin.NewHost(set.Targets(), 10, 10*time.Second)
	d.stopHost = cancel
	done, err := d.host.Run(ctx, d.network+"200:9900")
	require.NoError(d.t, err)
	d.hostDone = done
}

func (d *deployment) file(name string) string { return filepath.Join(d.folder, name) }

// declarations returns the declared configuration followed by the given sections.
func (d *deployment) declarations(extraSections string) string {
	var b strings.Builder
	b.WriteString("[fleet]\nrecord-lifetime = 1m\neject-for = 300ms\n")
	keepers := map[string][]string{}
	for _, name := range d.names {
		r := d.instances[name]
		keepers[r.domain] = append(keepers[r.domain], name+"@"+r.ip+":7100")
	}
	for _, domain := range []string{"a", "b"} {
		if len(keepers[domain]) > 0 {
			fmt.Fprintf(&b, "[failure-domain %s]\nkeepers = %s\n", domain, strings.Join(keepers[domain], ", "))
		}
	}
	for i := range 3 {
		fmt.Fprintf(&b, "[target engine-%d]\nkind = engine\nfailure-domain = a\naddress = %s%d:9000\nmodel = m\n", i+1, d.network, 100+i)
	}
	for i := range plainTargets {
		fmt.Fprintf(&b, "[target plain-%d]\nkind = plain\nfailure-domain = a\naddress = %s%d:9000\n", i+1, d.network, 150+i)
	}
	fmt.Fprintf(&b, `[service text]
kind = generation
model = m
default-class = live
[service bookings]
kind = plain
targets = plain-1
default-class = booking
not-executed-statuses = 503
[service lookups]
kind = plain
targets = plain-1, plain-2
default-class = lookup
[service reports]
kind = plain
targets = plain-3, plain-4, plain-5, plain-6
default-class = lookup
[class live]
idempotent = true
delivery = stream
stall-bound = 300ms
[class recap]
idempotent = true
delivery = whole
stall-bound = 300ms
[class booking]
idempotent = false
delivery = whole
deadline = 5s
[class lookup]
idempotent = true
delivery = whole
deadline = 5s
[organisation club]
key-hashes = %s
[organisation other]
key-hashes = %s
max-open = 1
`, declaration.HashKey(testKey), declaration.HashKey(otherKey))
	return b.String() + extraSections
}

func (d *deployment) settings(r *testInstance) string {
	var replicas, peers []string
	for _, name := range d.names {
		o := d.instances[name]
		if o.control {
			replicas = append(replicas, name+"@"+o.ip+":7100")
		}
		if o.domain == r.domain && o != r {
			peers = append(peers, name+"@"+o.ip+":7100")
		}
	}
	roles, data := "entry", ""
	if r.control {
		roles, data = "entry, control", "data-folder = "+d.file("data-"+r.name)+"\n"
	}
	return fmt.Sprintf(`[instance]
name = %s
failure-domain = %s
roles = %s
credentials = %s
%s[listen]
callers = %s:8100
peers = %s:7100
health = %s:8200
[control]
replicas = %s
domain-peers = %s
watch-wait = 500ms
[entry]
readiness-delay = 100ms
load-interval = 50ms
max-body = 64KiB
trace-file = %s
[platform]
list-url = http://%s200:9900/platform/targets
[log]
level = error
`, r.name, r.domain, roles, d.file("credentials/"+r.name), data, r.ip, r.ip, r.ip,
		strings.Join(replicas, ", "), strings.Join(peers, ", "), d.file("trace-"+r.name), d.network)
}

// start starts an instance that is not running.
func (d *deployment) start(name string) {
	d.t.Helper()
	r := d.instances[name]
	if d.binary != "" {
		d.startProcess(r)
		return
	}
	s, findings := settings.Parse(name+".ini", []byte(d.settings(r)))
	require.NoError(d.t, findings.Err())
	ctx, cancel := context.WithCancel(context.Background())
	r.stop, r.kill, r.done = make(chan struct{}), cancel, make(chan error, 1)
	i, err := instance.New(s)
	require.NoError(d.t, err)
	go func() { r.done <- i.Run(ctx, r.stop) }()
}

// shutdown stops an instance gracefully.
func (d *deployment) shutdown(name string) {
	d.t.Helper()
	r := d.instances[name]
	if r.process != nil {
		d.signal(name, syscall.SIGTERM)
	} else {
		close(r.stop)
	}
	require.NoError(d.t, <-r.done)
	r.kill()
	r.done = nil
}

// crash stops an instance at once, so that it loses everything in memory.
func (d *deployment) crash(name string) {
	d.t.Helper()
	r := d.instances[name]
	r.kill()
	require.NoError(d.t, <-r.done)
	r.done = nil
}

func (d *deployment) close() {
	for _, name := range d.names {
		if r := d.instances[name]; r.done != nil {
			r.kill()
			require.NoError(d.t, <-r.done)
		}
	}
	d.stopHost()
	require.NoError(d.t, <-d.hostDone)
	if d.t.Failed() && d.binary != "" {
		for _, name := range d.names {
			log, err := os.ReadFile(d.file(name + ".log"))
			d.t.Logf("log of %s (%v):\n%s", name, err, log[max(0, len(log)-2000):])
		}
	}
}

// runOperator runs a command as the operator and returns its exit code.
func (d *deployment) runOperator(args ...string) int {
	code, _ := d.runOperatorOutput(args...)
	return code
}

// runOperatorOutput runs a command as the operator and returns its exit code and
// output.
func (d *deployment) runOperatorOutput(args ...string) (int, string) {
	var replicas []string
	for _, name := range d.names {
		if r := d.instances[name]; r.control {
			replicas = append(replicas, name+"@"+r.ip+":7100")
		}
	}
	var out bytes.Buffer
	args = append(args, "--replicas", strings.Join(replicas, ","), "--credentials", d.file("credentials/operator"))
	code := cli.Run(args, &out, &out)
	return code, out.String()
}

func (d *deployment) apply(identity string) int {
	return d.runOperator("apply", "--identity", identity, d.file("declarations.ini"))
}

// await waits for a condition. Its timeout is long enough for an ordinary run on a
// slow machine.
func (d *deployment) await(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, condition, waitTimeout, 10*time.Millisecond, what)
}

func (d *deployment) awaitReady(name string) {
	d.t.Helper()
	d.await(name+" is ready", func() bool {
		response, err := http.Get("http://" + d.instances[name].ip + ":8200/readyz?keepers=1") //nolint:noctx // await has a timeout
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
}

// answer is a caller's view of a response.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// outcome returns the outcome from the header or the trailer.
func (a answer) outcome() string {
	if o := a.header.Get("Vanillaward-Outcome"); o != "" {
		return o
	}
	return a.trailer.Get("Vanillaward-Outcome")
}

// send sends one request as a caller.
func (d *deployment) send(name, method, path, body string, header map[string]string) answer {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+d.instances[name].ip+":8100"+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, response.Trailer, string(data), err}
}

func (d *deployment) book(name, slot, key string) answer {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return d.send(name, http.MethodPost, "/services/bookings/slots", slot, header)
}

// bookingRuns returns how often the target executed the booking of a slot.
func (d *deployment) bookingRuns(slot string) int {
	return d.host.Plain("plain-1").Runs()["POST /slots "+slot]
}

// checkTraces replays the traces of all instances and checks that they violate no
// guarantee of the system.
func (d *deployment) checkTraces() {
	d.t.Helper()
	for _, name := range d.names {
		f, err := os.Open(d.file("trace-" + name))
		require.NoError(d.t, err)
		events, err := trace.Read(f)
		require.NoError(d.t, err)
		require.NoError(d.t, f.Close())
		require.Empty(d.t, trace.Replay(events), name)
		require.Empty(d.t, trace.Check(events), name)
	}
}

// awaitServing waits until an instance accepts requests, whether or not its keeper
// votes.
func (d *deployment) awaitServing(name string) {
	d.t.Helper()
	d.await(name+" serves", func() bool {
		return d.send(name, http.MethodGet, "/services/lookups/x", "", nil).outcome() == "complete"
	})
}

// metric returns the value of a series without labels.
func (d *deployment) metric(name, series string) string {
	response, err := http.Get("http://" + d.instances[name].ip + ":8200/metrics") //nolint:noctx // the test has a timeout
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(d.t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, series+" "); ok {
			return value
		}
	}
	return ""
}
