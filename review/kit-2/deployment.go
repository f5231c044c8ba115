package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	controlPort   = "18748"
	frontPort     = "18740"
	readyPort     = "18749"
	peerPort      = "17300"
	handoverPort  = "17315"
	listPort      = "18742"
	firstMachine  = 10 // last octet of the first machine's address
	fleetOctet    = 200
	proxyOctetAdd = 100 // a machine's proxy has its last octet and this
)

// role is a role of the deploy file.
type role struct {
	command  []string
	template string
}

// deployment is a set of machines on one prefix of loopback addresses.
type deployment struct {
	root   string
	folder string
	prefix string
	roles  map[string]role
	rec    *record
	seeds  []string

	mu       sync.Mutex
	machines []*machine
}

// machine is one machine of the system with its process.
type machine struct {
	d         *deployment
	name      string
	role      string
	zone      string
	ip        string
	data      string
	extra     map[string][]string // lines for sections of the settings, by section
	bootstrap bool

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	leads   bool // as its log says
	log     *os.File
}

func newDeployment(root string, rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	roles, err := readRoles(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	rec.line("loopback addresses %sN", prefix)
	return &deployment{root: root, folder: folder, prefix: prefix, roles: roles, rec: rec}, nil
}

// freePrefix returns the first three octets of loopback addresses of which nobody uses a port of the deployment.
func freePrefix() (string, error) {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()+try)%150, (os.Getpid()/150+7*try)%250)
		free := true
		for _, port := range []string{controlPort, frontPort, peerPort, listPort} {
			for _, octet := range []int{firstMachine, firstMachine + proxyOctetAdd, fleetOctet} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%s", prefix, octet, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

var (
	sectionLine = regexp.MustCompile(`^\[roles\.([^\]]+)\]`)
	valueLine   = regexp.MustCompile(`^(\w+) = "([^"]*)"`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// readRoles reads the commands and templates of the deploy file.
func readRoles(path string) (map[string]role, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out, name := map[string]role{}, ""
	for _, line := range strings.Split(string(data), "\n") {
		if m := sectionLine.FindStringSubmatch(line); m != nil {
			name = m[1]
		}
		m := valueLine.FindStringSubmatch(line)
		if m == nil || name == "" {
			continue
		}
		r := out[name]
		switch m[1] {
		case "run":
			r.command = strings.Fields(m[2])
		case "template":
			r.template = m[2]
		}
		out[name] = r
	}
	return out, nil
}

func (d *deployment) address(octet int) string { return fmt.Sprintf("%s%d", d.prefix, octet) }

// add adds a machine with the next address.
func (d *deployment) add(role, name, zone string) *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := &machine{d: d, name: name, role: role, zone: zone, ip: d.address(firstMachine + len(d.machines)), data: filepath.Join(d.folder, name), extra: map[string][]string{}}
	d.machines = append(d.machines, m)
	return m
}

// settings renders the template of the machine's role.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.d.root, m.d.roles[m.role].template))
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"node": m.name, "zone": m.zone, "data_dir": m.data, "ip": m.ip, "bootstrap": fmt.Sprint(m.bootstrap),
		"cloud.address": m.d.address(fleetOctet) + ":" + listPort, "seeds": strings.Join(m.d.seeds, ","),
		"internal_ports.0": peerPort, "internal_ports.1": handoverPort, "listen.front": m.ip + ":" + frontPort,
		"listen.ready": m.ip + ":" + readyPort, "listen.control": m.ip + ":" + controlPort,
		"bounds.retry_window_s": "10", "bounds.grace_s": "8",
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, known := values[strings.Trim(p, "{}")]
		if !known {
			missing = fmt.Errorf("template has a placeholder %s", p)
		}
		return value
	})
	for section, lines := range m.extra {
		out = strings.Replace(out, "["+section+"]\n", "["+section+"]\n"+strings.Join(lines, "\n")+"\n", 1)
	}
	return out, missing
}

// start starts the machine's process with the settings in effect now.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(m.data, 0o750); err != nil {
			return err
		}
	}
	file := filepath.Join(m.d.folder, m.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	command := m.d.roles[m.role].command
	process := exec.Command(filepath.Join(m.d.root, command[0]), command[1:]...)
	process.Dir = m.d.root
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	process.Env = append(os.Environ(), "VANILLAWARD_BOOT="+file)
	output, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	process.Stderr = process.Stdout
	if err := process.Start(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.process, m.done, m.leads, m.log = process, done, false, log
	m.mu.Unlock()
	go func() {
		defer close(done)
		scanner := bufio.NewScanner(output)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			line := scanner.Bytes()
			_, _ = log.Write(append(line, '\n'))
			if bytes.Contains(line, []byte(`"replica role or term changed"`)) {
				m.mu.Lock()
				m.leads = bytes.Contains(line, []byte(`"leader"`))
				m.mu.Unlock()
			}
		}
		_ = process.Wait()
		_ = log.Close()
	}()
	m.d.rec.line("%s started at %s, bootstrap %v", m.name, m.ip, m.bootstrap)
	return nil
}

// signal sends a signal to the machine's process, and waits for its end if that is a kill.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	process, done := m.process, m.done
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(s)
	m.d.rec.line("%s gets %v", m.name, s)
	if s == syscall.SIGKILL {
		<-done
		m.mu.Lock()
		m.process, m.leads = nil, false
		m.mu.Unlock()
	}
}

// loseDisk empties the data folder of a machine whose process has ended.
func (m *machine) loseDisk() error {
	m.d.rec.line("%s loses its disk", m.name)
	return os.RemoveAll(m.data)
}

func (m *machine) leader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leads
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		process := m.process
		m.mu.Unlock()
		if process != nil {
			_ = process.Process.Signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// controls returns the machines with a control process.
func (d *deployment) controls() []*machine {
	var out []*machine
	for _, m := range d.machines {
		if m.role == "control" {
			out = append(out, m)
		}
	}
	return out
}

// awaitLeader returns the machine that says that it leads.
func (d *deployment) awaitLeader(within time.Duration) *machine {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range d.controls() {
			if m.leader() {
				return m
			}
		}
	}
	return nil
}
