package soak_test

import (
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
	// callTime bounds a call of the soak to a process of the system.
	callTime = 2 * time.Second
	// endTime is how long a process may take to end after SIGTERM.
	endTime = 20 * time.Second
)

// cluster is a deployment of separate processes, whose links lead through the network's
// proxies.
type cluster struct {
	disks   string // folder of the settings and disks
	logs    string // folder of the logs
	prefix  string // first three numbers of all IP numbers
	binary  string
	net     *network
	fleet   *platformtest.Fleet
	client  *http.Client
	process map[string]*process
	closing sync.Once

	mu       sync.Mutex // guards the rest
	targets  map[string]*platformtest.Target
	started  int // targets
	troubles []trouble
	findings []string
}

// trouble is a disturbance of a target or of the link to it.
type trouble struct {
	slot     string
	from, to time.Time
}

// process is one program of the system.
type process struct {
	name   string
	role   string
	ip     string
	fronts string // IP number at which the others reach it
	disk   string

	busy sync.Mutex // held while a fault is carried out on the process

	mu       sync.Mutex // guards the rest
	command  *exec.Cmd
	ended    chan struct{}
	expected bool // the soak ends it
	touched  touches
}

// touches is what befell a process.
type touches struct {
	number   int // signals and starts
	stopping bool
	paused   bool
}

func newCluster(disks, logs, binary, prefix string) (*cluster, error) {
	c := &cluster{
		disks: disks, logs: logs, prefix: prefix, binary: binary, net: newNetwork(), process: map[string]*process{}, targets: map[string]*platformtest.Target{},
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range controls {
		p := &process{name: controlName(i), role: "control", ip: fmt.Sprint(prefix, 10+i), fronts: fmt.Sprint(prefix, 110+i)}
		p.disk = filepath.Join(disks, p.name)
		c.process[p.name] = p
	}
	for i := range gateways {
		p := &process{name: gatewayName(i), role: "gateway", ip: fmt.Sprint(prefix, 20+i)}
		c.process[p.name] = p
	}
	var err error
	c.fleet, err = platformtest.NewFleet(prefix + "200")
	return c, err
}

// open starts the targets and the processes. It must be closed also when it fails.
func (c *cluster) open() error {
	for i := range engines {
		if err := c.startTarget(engineName(i)); err != nil {
			return err
		}
	}
	for i := range plains {
		if err := c.startTarget(plainName(i)); err != nil {
			return err
		}
	}
	for _, p := range c.process {
		c.net.name(p.ip, p.name)
		if p.fronts == "" {
			continue
		}
		if _, err := c.net.proxy(p.fronts+":"+platformtest.PeerPort, p.name, p.ip+":"+platformtest.PeerPort); err != nil {
			return err
		}
	}
	return c.startAll(true)
}

func (c *cluster) found(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, fmt.Sprintf(format, args...))
}

// startTarget starts a target for a slot: an engine or a plain service.
func (c *cluster) startTarget(slot string) error {
	c.mu.Lock()
	c.started++
	number := c.started
	c.mu.Unlock()
	kind, place, _ := strings.Cut(slot, "-")
	spec := platformtest.Spec{
		IP: c.prefix + "201", ID: fmt.Sprint(slot, ".", number), Service: platformtest.PlainService, Domain: "zone-" + place, Engine: kind == "engine",
		Front: func(own string) (string, error) { return c.net.proxy(c.prefix+"202:0", slot, own) },
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

func (c *cluster) target(slot string) *platformtest.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.targets[slot]
}

// seeds names the replicas, starting with one of them.
func (c *cluster) seeds(first int) []string {
	var out []string
	for i := range controls {
		out = append(out, fmt.Sprint(c.prefix, 110+(first+i)%controls, ":", platformtest.OperatorPort))
	}
	return out
}

// writeSettings writes the settings file of a process from its template.
func (c *cluster) writeSettings(p *process, firstSeed int, bootstrap bool) (string, error) {
	machine := platformtest.Machine{
		Name: p.name, Domain: "zone-" + p.name[len(p.name)-1:], IP: p.ip, Folder: p.disk, Seeds: c.seeds(firstSeed),
		List: c.fleet.Address(), Bootstrap: bootstrap,
	}
	text, err := machine.Settings(filepath.Join("..", "..", "deploy", p.role+".ini"))
	if err != nil {
		return "", err
	}
	own := "[listen]\nsource = " + p.ip + ":0\n"
	if p.fronts != "" {
		own += "advertised-peers = " + p.fronts + ":" + platformtest.PeerPort + "\n"
	}
	file := filepath.Join(c.disks, p.name+".ini")
	return file, os.WriteFile(file, []byte(strings.Replace(text, "[listen]\n", own, 1)), 0o600)
}

// start starts a process, or does nothing when it runs.
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
	log, err := os.OpenFile(filepath.Join(c.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(c.binary, "run", "--settings", file) //nolint:gosec // the test's own build
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.expected, p.ended = command, false, make(chan struct{})
	p.touched = touches{number: p.touched.number + 1}
	go c.watch(p, command, p.ended, log)
	return nil
}

// watch waits for the end of a process; one that nobody asked for is a finding.
func (c *cluster) watch(p *process, command *exec.Cmd, ended chan struct{}, log *os.File) {
	err := command.Wait()
	_ = log.Close() // for reading by a person only
	p.mu.Lock()
	if !p.expected {
		c.found("%s ended by itself: %v", p.name, err)
	}
	p.command = nil
	p.mu.Unlock()
	close(ended)
}

// signal sends a signal to a process, which ends with it or not, and returns a channel
// that is closed at its end. Without a running process it is nil.
func (p *process) signal(s syscall.Signal, ends bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	p.expected = p.expected || ends
	p.touched.number++
	p.touched.stopping = s == syscall.SIGTERM
	p.touched.paused = s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s) // it may have ended
	return p.ended
}

// kill ends a process at once.
func (p *process) kill() {
	if ended := p.signal(syscall.SIGKILL, true); ended != nil {
		<-ended
	}
}

// touches returns what befell the process up to now.
func (p *process) touches() touches {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.touched
}

// stop ends a process with SIGTERM.
func (c *cluster) stop(p *process) {
	ended := p.signal(syscall.SIGTERM, true)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(endTime):
		c.found("%s did not end within %s of SIGTERM", p.name, endTime)
		p.kill()
	}
}

// close ends everything that the cluster started. Further calls do nothing.
func (c *cluster) close() { c.closing.Do(c.end) }

func (c *cluster) end() {
	var ending sync.WaitGroup
	for _, p := range c.process {
		ending.Go(func() { c.stop(p) })
	}
	ending.Wait()
	c.net.close()
	c.fleet.Close()
}

// whole reports whether all replicas know three voters and no learner: each record is on
// every disk that counts, or soon will be.
func (c *cluster) whole() bool {
	for i := range controls {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		whole := platformtest.LogWhole(ctx, c.client, c.process[controlName(i)].ip, controls)
		cancel()
		if !whole {
			return false
		}
	}
	return true
}

// do carries out a step and ends it. Steps on a process that is busy with another one are
// left out.
func (c *cluster) do(s step) {
	switch s.fault {
	case faultSilence, faultOneWay, faultDelay, faultReset, faultIsolate:
		c.disturb(s)
		return
	case faultTargetKill, faultTargetEnd, faultTargetFull:
		c.disturbTarget(s)
		return
	case faultListDark:
		c.fleet.SetDark(true)
		time.Sleep(s.lasts)
		c.fleet.SetDark(false)
		return
	}
	p := c.process[s.on]
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	c.doProcess(p, s)
}

func (c *cluster) doProcess(p *process, s step) {
	switch s.fault {
	case faultKill:
		p.kill()
		time.Sleep(s.lasts)
	case faultStop:
		c.stop(p)
	case faultPause:
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(s.lasts)
		p.signal(syscall.SIGCONT, false)
		return
	case faultReload:
		if _, err := c.writeSettings(p, int(s.lasts)%controls, false); err != nil {
			c.found("settings of %s: %v", p.name, err)
		}
		p.signal(syscall.SIGHUP, false)
		return
	case faultTear:
		p.kill()
		c.tear(p)
		time.Sleep(s.lasts)
	case faultWipe:
		c.wipe(p, s.lasts)
		return
	}
	if err := c.start(p, false); err != nil {
		c.found("start of %s: %v", p.name, err)
	}
}

// wipe makes a replica lose its disk, if the others hold everything: the loss of one disk
// is promised to be borne, and the log must have mended the one before.
func (c *cluster) wipe(p *process, lasts time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock() // one disk at a time
	if !c.whole() {
		return
	}
	p.kill()
	if err := os.RemoveAll(p.disk); err != nil {
		c.findings = append(c.findings, err.Error())
	}
	time.Sleep(lasts)
	if err := c.start(p, false); err != nil {
		c.findings = append(c.findings, err.Error())
	}
	for range 100 { // the next loss waits until this one is mended, or is left out
		if c.whole() {
			return
		}
		time.Sleep(lasts / 10)
	}
}

// tear appends the beginning of a record to the log of a replica, as a write does that its
// process did not live to end.
func (c *cluster) tear(p *process) {
	name := filepath.Join(p.disk, "log")
	data, err := os.ReadFile(filepath.Clean(name))
	if err != nil || len(data) < tornBytes {
		return // it has no records yet
	}
	if err := os.WriteFile(name, slices.Concat(data, data[:tornBytes]), 0o600); err != nil {
		c.found("log of %s: %v", p.name, err)
	}
}

// tornBytes is less than any record.
const tornBytes = 6

// trouble notes that the target of a slot or the link to it is disturbed until the returned
// function is called.
func (c *cluster) trouble(slot string) func() {
	from := time.Now()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.troubles = append(c.troubles, trouble{slot, from, time.Now()})
	}
}

// calm reports whether none of some targets was disturbed in a time. It must be called
// once all disturbances have ended.
func (c *cluster) calm(targets []string, from, to time.Time) bool {
	for _, t := range c.troubles {
		for _, id := range targets {
			if strings.HasPrefix(id, t.slot+".") && t.from.Before(to) && from.Before(t.to) {
				return false
			}
		}
	}
	return true
}

func (c *cluster) operator(i int) string {
	return c.process[controlName(i)].ip + ":" + platformtest.OperatorPort
}

// startAll starts the processes that are down.
func (c *cluster) startAll(bootstrap bool) error {
	for _, p := range c.process {
		if err := c.start(p, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) disturb(s step) {
	if s.on == anyone {
		defer c.trouble(s.to)()
	}
	var links []link
	if s.fault == faultIsolate {
		for name := range c.process {
			links = append(links, link{s.on, name}, link{name, s.on})
		}
	} else {
		links = []link{{s.on, s.to}}
	}
	if s.fault == faultReset {
		c.net.reset(links[0])
		return
	}
	change := func(by int) {
		for _, l := range links {
			c.net.change(l, func(st *state) {
				switch s.fault {
				case faultDelay:
					st.slow += by
				case faultOneWay:
					st.silent += by
				default:
					st.silent += by
					st.back += by
				}
			})
		}
	}
	change(1)
	time.Sleep(s.lasts)
	change(-1)
}

func (c *cluster) disturbTarget(s step) {
	defer c.trouble(s.on)()
	t := c.target(s.on)
	switch s.fault {
	case faultTargetFull:
		t.SetFull(true)
		time.Sleep(s.lasts)
		t.SetFull(false)
		return
	case faultTargetEnd:
		t.Leave()
		time.Sleep(noticeTime)
	}
	t.Kill()
	time.Sleep(s.lasts)
	t.Unlist()
	if c.target(s.on) != t {
		return // another step has replaced it
	}
	if err := c.startTarget(s.on); err != nil {
		c.found("target %s: %v", s.on, err)
	}
}
