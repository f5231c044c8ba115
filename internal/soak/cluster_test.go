package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanillaward/vanillaward/platform/platformtest"
)

const (
	// callTimeout bounds a call of the test to a process of the system.
	callTimeout = 2 * time.Second
	// stopTimeout bounds the exit of a process after SIGTERM.
	stopTimeout = 20 * time.Second
	// sharedRetrySlack is what all instances share of retrySlack; each has 2 of it for itself.
	sharedRetrySlack = retrySlack - 2*gatewayCount
)

// cluster is a deployment of separate processes that are connected through the proxies of
// a network.
type cluster struct {
	folder    string // folder of the settings files and the data folders
	logFolder string // folder of the logs
	prefix    string // first three bytes of all IP addresses, with a final dot
	binary    string
	net       *network
	fleet     *platformtest.Fleet
	client    *http.Client
	processes map[string]*process
	closeOnce sync.Once
	wipeMu    sync.Mutex // held while a replica loses its disk, so that one does at a time; taken before the other locks

	mu             sync.Mutex // guards the rest
	targets        map[string]*platformtest.Target
	targetsStarted int // number of targets started so far
	targetFaults   []targetFault
	findings       []string
	replicas       []string // names of the present replicas
}

// targetFault is a period in which a fault affected a target or the link to it.
type targetFault struct {
	slot     string
	from, to time.Time
}

// process is one program of the system.
type process struct {
	name       string
	role       string
	ip         string
	proxyIP    string // IP address at which other processes connect; empty if none do
	dataFolder string
	domain     string
	spare      bool // it runs only once it replaces a replica

	faultMu sync.Mutex // held while a fault is injected into the process

	mu           sync.Mutex // guards the rest
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the test has sent a signal that ends the process
	signals      signalState
}

// signalState records the starts of a process and the signals sent to it.
type signalState struct {
	count    int // number of signals and starts
	stopping bool
	paused   bool
}

func newCluster(folder, logFolder, binary, prefix string) (*cluster, error) {
	c := &cluster{
		folder: folder, logFolder: logFolder, prefix: prefix, binary: binary, net: newNetwork(), processes: map[string]*process{}, targets: map[string]*platformtest.Target{},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range controlCount + spareReplicas {
		p := &process{name: controlName(i), role: "control", ip: fmt.Sprint(prefix, 10+i), proxyIP: fmt.Sprint(prefix, 110+i), domain: zoneName(i % controlCount), spare: i >= controlCount}
		p.dataFolder = filepath.Join(folder, p.name)
		c.processes[p.name] = p
		if !p.spare {
			c.replicas = append(c.replicas, p.name)
		}
	}
	for i := range gatewayCount {
		p := &process{name: gatewayName(i), role: "gateway", ip: fmt.Sprint(prefix, 20+i), domain: zoneName(i)}
		c.processes[p.name] = p
	}
	var err error
	c.fleet, err = platformtest.NewFleet(prefix + "200")
	return c, err
}

// open starts the targets and the processes. The caller must call close even if open
// fails.
func (c *cluster) open() error {
	for i := range engineCount {
		if err := c.startTarget(engineName(i)); err != nil {
			return err
		}
	}
	for i := range plainCount {
		if err := c.startTarget(plainName(i)); err != nil {
			return err
		}
	}
	for _, p := range c.processes {
		c.net.setName(p.ip, p.name)
		if p.proxyIP == "" {
			continue
		}
		if _, err := c.net.proxy(p.proxyIP+":"+platformtest.PeerPort, p.name, p.ip+":"+platformtest.PeerPort); err != nil {
			return err
		}
	}
	return c.startAll(true)
}

func (c *cluster) addFinding(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
}

// startTarget starts a target, an engine or a plain service, in a slot.
func (c *cluster) startTarget(slot string) error {
	c.mu.Lock()
	c.targetsStarted++
	number := c.targetsStarted
	c.mu.Unlock()
	kind, index, _ := strings.Cut(slot, "-")
	spec := platformtest.Spec{
		IP: c.prefix + "201", ID: fmt.Sprint(slot, ".", number), Service: platformtest.PlainService, Domain: "zone-" + index, Engine: kind == "engine", Deaf: isDeaf(slot),
		Proxy: func(own string) (string, error) { return c.net.proxy(c.prefix+"202:0", slot, own) },
	}
	if spec.Engine {
		spec.Service = platformtest.StreamService
	}
	t, err := c.fleet.Start(spec)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[slot] = t
	return nil
}

// isDeaf reports whether the engine of a slot does not notice that connections were closed.
func isDeaf(slot string) bool {
	return slices.Contains([]string{engineName(1), engineName(3)}, slot)
}

func (c *cluster) target(slot string) *platformtest.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[slot]
}

// seeds returns the addresses of the replicas, starting with the given one.
func (c *cluster) seeds(first int) []string {
	var out []string
	for i := range controlCount {
		out = append(out, c.replica((first+i)%controlCount).proxyIP+":"+platformtest.OperatorPort)
	}
	return out
}

// writeSettings writes the settings file of a process from its template and returns the
// name of the file.
func (c *cluster) writeSettings(p *process, firstSeed int, bootstrap bool) (string, error) {
	values := platformtest.ProcessSettings{
		Name: p.name, Domain: p.domain, IP: p.ip, Folder: p.dataFolder, Seeds: c.seeds(firstSeed),
		List: c.fleet.Address(), Bootstrap: bootstrap,
	}
	text, err := values.Settings(filepath.Join("..", "..", "deploy", p.role+".ini"))
	if err != nil {
		return "", err
	}
	listenSection := "[listen]\nsource = " + p.ip + ":0\n"
	if p.proxyIP != "" {
		listenSection += "advertised-peers = " + p.proxyIP + ":" + platformtest.PeerPort + "\n"
	}
	text = strings.Replace(text, "[listen]\n", listenSection, 1)
	text = strings.Replace(text, "[gateway]\n", fmt.Sprint("[gateway]\nretry-slack = ", sharedRetrySlack, "\ncopy-after = 0s\n"), 1)
	file := filepath.Join(c.folder, p.name+".ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// start starts a process unless it is running.
func (c *cluster) start(p *process, bootstrap bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	file, err := c.writeSettings(p, 0, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.logFolder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(c.binary, "run", "--settings", file) //nolint:gosec // the binary is built by the test
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exitExpected, p.exited = command, false, make(chan struct{})
	p.signals = signalState{count: p.signals.count + 1}
	go c.watch(p, command, p.exited, log)
	return nil
}

// watch waits for the exit of a process. An unexpected exit is a finding.
func (c *cluster) watch(p *process, command *exec.Cmd, exited chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close() // no check reads the log
	p.mu.Lock()
	expected := p.exitExpected
	p.command = nil
	p.mu.Unlock()
	if !expected {
		c.addFinding("%s exited unexpectedly: %v", p.name, err)
	}
	close(exited)
}

// signal sends a signal to a process and returns a channel that is closed when the process
// exits, or nil if it is not running. The caller states whether the signal ends the process.
func (p *process) signal(s syscall.Signal, endsProcess bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	p.exitExpected = p.exitExpected || endsProcess
	p.signals.count++
	p.signals.stopping = s == syscall.SIGTERM
	p.signals.paused = s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s) // the process may have exited
	return p.exited
}

// kill ends a process with SIGKILL and waits for its exit.
func (p *process) kill() {
	if exited := p.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// signalState returns the starts and signals of the process so far.
func (p *process) signalState() signalState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signals
}

// stop ends a process with SIGTERM and waits for its exit.
func (c *cluster) stop(p *process) {
	exited := p.signal(syscall.SIGTERM, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		c.addFinding("%s did not exit within %s of SIGTERM", p.name, stopTimeout)
		p.kill()
	}
}

// close stops everything that the cluster started. Further calls do nothing.
func (c *cluster) close() { c.closeOnce.Do(c.shutdown) }

func (c *cluster) shutdown() {
	var stops sync.WaitGroup
	for _, p := range c.processes {
		stops.Go(func() { c.stop(p) })
	}
	stops.Wait()
	c.net.close()
	c.fleet.Close()
}

// hasAllVoters reports whether all replicas have three voters and no learner in their
// membership: each record is on the disk of every voter, or soon will be.
func (c *cluster) hasAllVoters() bool {
	for i := range controlCount {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		complete := platformtest.HasVoters(ctx, c.client, c.replica(i).ip, controlCount)
		cancel()
		if !complete {
			return false
		}
	}
	return true
}

// runStep runs a step until its fault has ended. A step on a process that is busy with
// another step is skipped.
func (c *cluster) runStep(s step) {
	switch s.fault {
	case faultSilence, faultOneWay, faultDelay, faultReset, faultIsolate:
		c.runLinkStep(s)
		return
	case faultTargetKill, faultTargetEnd, faultTargetFull:
		c.runTargetStep(s)
		return
	case faultCut, faultEnd, faultQuiet, faultMute:
		c.runEngineStep(s)
		return
	case faultReplace, faultSplitWipe:
		c.runReplicaStep(s)
		return
	case faultListUnavailable:
		c.fleet.SetUnavailable(true)
		time.Sleep(s.duration)
		c.fleet.SetUnavailable(false)
		return
	}
	p := c.processes[s.subject]
	if !p.faultMu.TryLock() {
		return
	}
	defer p.faultMu.Unlock()
	c.runProcessStep(p, s)
}

func (c *cluster) runProcessStep(p *process, s step) {
	switch s.fault {
	case faultKill:
		p.kill()
		time.Sleep(s.duration)
	case faultStop:
		c.stop(p)
	case faultPause:
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(s.duration)
		p.signal(syscall.SIGCONT, false)
		return
	case faultReload:
		if _, err := c.writeSettings(p, int(s.duration)%controlCount, false); err != nil {
			c.addFinding("cannot write settings of %s: %v", p.name, err)
		}
		p.signal(syscall.SIGHUP, false)
		return
	case faultTear:
		p.kill()
		c.tear(p)
		time.Sleep(s.duration)
	case faultWipe:
		c.wipe(p, s.duration)
		return
	}
	if err := c.start(p, false); err != nil {
		c.addFinding("cannot start %s: %v", p.name, err)
	}
}

// wipe makes a replica lose its disk if the other replicas hold all records. The system
// guarantees to survive the loss of one disk once the log has recovered from the previous
// loss.
func (c *cluster) wipe(p *process, downtime time.Duration) {
	c.wipeMu.Lock()
	defer c.wipeMu.Unlock()
	if !c.hasAllVoters() {
		return
	}
	c.loseDisk(p, downtime)
	for range 100 { // the next loss waits until the log has recovered from this one, or is skipped
		if c.hasAllVoters() {
			return
		}
		time.Sleep(downtime / 10)
	}
}

// loseDisk ends a replica without a word and starts it with an empty disk after a time.
func (c *cluster) loseDisk(p *process, downtime time.Duration) {
	p.kill()
	if err := os.RemoveAll(p.dataFolder); err != nil {
		c.addFinding("cannot remove the disk of %s: %v", p.name, err)
	}
	time.Sleep(downtime)
	if err := c.start(p, false); err != nil {
		c.addFinding("cannot start %s: %v", p.name, err)
	}
}

// tear appends the beginning of a record to the log of a replica, as an interrupted write
// of a process that was killed leaves it.
func (c *cluster) tear(p *process) {
	name := filepath.Join(p.dataFolder, "log")
	data, err := os.ReadFile(filepath.Clean(name))
	if err != nil || len(data) < tornBytes {
		return // the log has no records yet
	}
	if bytes.HasSuffix(data, data[:tornBytes]) {
		return // the replica was killed before it could cut off the last torn record, and has not written another one
	}
	if err := os.WriteFile(name, slices.Concat(data, data[:tornBytes]), 0o600); err != nil {
		c.addFinding("cannot write log of %s: %v", p.name, err)
	}
}

// tornBytes is the length of a torn record in bytes; every record is longer.
const tornBytes = 6

// recordTargetFault records that a fault affects the target of a slot or the link to it from
// now until the returned function is called.
func (c *cluster) recordTargetFault(slot string) func() {
	from := time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.targetFaults = append(c.targetFaults, targetFault{slot, from, time.Now()})
	}
}

// noTargetFault reports whether no fault affected any of the given targets between two times.
// It must be called once all faults have ended.
func (c *cluster) noTargetFault(targets []string, from, to time.Time) bool {
	for _, end := range c.fleet.Ends() {
		if slices.Contains(targets, end.Target) && end.At.After(from) && end.At.Before(to) {
			return false
		}
	}
	for _, t := range c.targetFaults {
		for _, id := range targets {
			if strings.HasPrefix(id, t.slot+".") && t.from.Before(to) && from.Before(t.to) {
				return false
			}
		}
	}
	return true
}

func (c *cluster) operator(i int) string { return c.replica(i).ip + ":" + platformtest.OperatorPort }

// replica returns the process that is the replica of a slot now.
func (c *cluster) replica(slot int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[c.replicas[slot]]
}

// startAll starts the processes that are not running.
func (c *cluster) startAll(bootstrap bool) error {
	for _, p := range c.processes {
		if p.role == "control" && !c.isReplica(p) {
			continue
		}
		if err := c.start(p, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) isReplica(p *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.replicas, p.name)
}

func (c *cluster) runLinkStep(s step) {
	if s.subject == anySource {
		defer c.recordTargetFault(s.to)()
	}
	var links []link
	if s.fault == faultIsolate {
		for name := range c.processes {
			links = append(links, link{s.subject, name}, link{name, s.subject})
		}
	} else {
		links = []link{{s.subject, s.to}}
	}
	if s.fault == faultReset {
		c.net.reset(links[0])
		return
	}
	addToCount := func(delta int) {
		for _, l := range links {
			c.net.updateState(l, func(st *linkState) {
				switch s.fault {
				case faultDelay:
					st.delays += delta
				case faultOneWay:
					st.forwardBlocks += delta
				default:
					st.forwardBlocks += delta
					st.backwardBlocks += delta
				}
			})
		}
	}
	addToCount(1)
	time.Sleep(s.duration)
	addToCount(-1)
}

func (c *cluster) runTargetStep(s step) {
	defer c.recordTargetFault(s.subject)()
	t := c.target(s.subject)
	switch s.fault {
	case faultTargetFull:
		t.RefuseFor(s.duration)
		time.Sleep(s.duration)
		return
	case faultTargetEnd:
		t.Leave(s.duration%2 == 0)
		time.Sleep(noticePeriod)
	}
	t.Kill()
	time.Sleep(s.duration)
	t.Unlist()
	if c.target(s.subject) != t {
		return // another step has replaced the target
	}
	if err := c.startTarget(s.subject); err != nil {
		c.addFinding("cannot start target %s: %v", s.subject, err)
	}
}
