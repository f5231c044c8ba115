package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as in the pages' example.
const (
	portFront    = "8740"
	portReady    = "8749"
	portControl  = "8748"
	portPeers    = "7200"
	portHandover = "7215"
	portHealth   = "9100"
)

// Bounds of the small deployment (patitas-uy).
const (
	contactTime    = 3 * time.Second
	ackTime        = 4 * time.Second
	catchUpTime    = 4 * time.Second
	configTime     = 2 * time.Second
	recoveryTime   = 12 * time.Second
	graceSeconds   = 8
	reuseAfterTime = 2 * time.Second
)

// role is a role of the deploy file.
type role struct {
	run      []string
	template string
}

// readDeploy reads the roles of the deploy file.
func readDeploy(root string) (map[string]role, error) {
	file, err := os.Open(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	roles := map[string]role{}
	name := ""
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if rest, ok := strings.CutPrefix(line, "[roles."); ok {
			name = strings.TrimSuffix(rest, "]")
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok || name == "" {
			continue
		}
		value = strings.Trim(strings.TrimSpace(value), `"`)
		r := roles[name]
		switch strings.TrimSpace(key) {
		case "run":
			r.run = strings.Fields(value)
		case "template":
			r.template = filepath.Join(root, value)
		}
		roles[name] = r
	}
	return roles, lines.Err()
}

// cluster is a small deployment of the system's own processes on loopback addresses.
type cluster struct {
	record *record
	root   string
	folder string // temporary
	net    string // first three numbers of all addresses
	roles  map[string]role
	list   *platform

	mu    sync.Mutex // guards nodes
	nodes map[string]*node
}

// node is one machine with one process.
type node struct {
	cluster *cluster
	name    string
	role    string
	zone    string
	ip      string
	seeds   []string
	dataDir string

	mu   sync.Mutex // guards the rest
	cmd  *exec.Cmd
	done chan struct{}
}

// freeNet returns the first three numbers of loopback addresses of which no port is in use.
func freeNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i*7)%200, 1+(os.Getpid()/200+i)%250)
		free := true
		for host := 1; host < 30 && free; host++ {
			for _, port := range []string{portFront, portReady, portControl, portPeers, portHandover, portHealth} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func newCluster(rec *record, root string) (*cluster, error) {
	roles, err := readDeploy(root)
	if err != nil {
		return nil, err
	}
	prefix, err := freeNet()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, root: root, folder: folder, net: prefix, roles: roles, nodes: map[string]*node{}}
	c.list, err = newPlatform(rec, prefix+".200")
	return c, err
}

// close ends all processes.
func (c *cluster) close() {
	c.mu.Lock()
	nodes := c.nodes
	c.nodes = map[string]*node{}
	c.mu.Unlock()
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	if c.list != nil {
		c.list.close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// add adds a machine that has not been started. Seeds are the control addresses that it is told.
func (c *cluster) add(name, role, zone string, host int, seeds []string) *node {
	n := &node{
		cluster: c, name: name, role: role, zone: zone, ip: fmt.Sprintf("%s.%d", c.net, host), seeds: seeds,
		dataDir: filepath.Join(c.folder, name+".data"),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return n
}

func (n *node) control() string { return n.ip + ":" + portControl }
func (n *node) front() string   { return n.ip + ":" + portFront }

// render fills in the role's template as the platform does.
func (n *node) render(bootstrap bool) (string, error) {
	data, err := os.ReadFile(n.cluster.roles[n.role].template)
	if err != nil {
		return "", err
	}
	fields := map[string]string{
		"node": n.name, "zone": n.zone, "ip": n.ip, "data_dir": n.dataDir,
		"listen.front": n.front(), "listen.ready": n.ip + ":" + portReady, "listen.control": n.control(),
		"internal_ports.0": portPeers, "internal_ports.1": portHandover,
		"seeds": strings.Join(n.seeds, ","), "bootstrap": strconv.FormatBool(bootstrap),
		"cloud.address": n.cluster.list.address, "bounds.retry_window_s": "10", "bounds.grace_s": strconv.Itoa(graceSeconds),
	}
	text := string(data)
	for name, value := range fields {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("template of %s has a placeholder that is not known", n.role)
	}
	return text, nil
}

// start starts the machine's process with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	text, err := n.render(bootstrap)
	if err != nil {
		return err
	}
	settings := filepath.Join(n.cluster.folder, n.name+".conf")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.cluster.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := n.cluster.roles[n.role].run
	cmd := exec.Command(filepath.Join(n.cluster.root, words[0]), words[1:]...)
	cmd.Dir = n.cluster.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.cluster.folder, "LANG=C", "VANILLAWARD_BOOT=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.cluster.record.note("process %s ended: %v", n.name, err)
		close(done)
	}()
	n.cluster.record.note("process %s started at %s (bootstrap=%v)", n.name, n.ip, bootstrap)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		select {
		case <-n.done:
		default:
			_ = n.cmd.Process.Signal(s)
		}
	}
}

// await waits for the end of the process.
func (n *node) await(limit time.Duration) bool {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.await(5 * time.Second)
}

// loseDisk ends the process without warning and empties its data folder.
func (n *node) loseDisk() {
	n.kill()
	_ = os.RemoveAll(n.dataDir)
	n.cluster.record.note("machine %s is down and its disk is lost", n.name)
}

// startAll starts machines within 0.3 s of each other.
func startAll(bootstrap bool, nodes ...*node) error {
	for _, n := range nodes {
		if err := n.start(bootstrap); err != nil {
			return err
		}
	}
	return nil
}
