// Package settings defines the settings file of an instance, and loads and checks it.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Roles of an instance.
const (
	// RoleEntry serves callers according to the declarations.
	RoleEntry = "entry"
	// RoleGateway serves callers according to a routing table.
	RoleGateway = "gateway"
	// RoleControl replicates the configuration.
	RoleControl = "control"
)

// maxKeeperTimeout is half of the time after which a restarted keeper considers all
// earlier claims decided.
const maxKeeperTimeout = time.Second

// Settings are the settings of one instance. Each field is a section of the
// file. The fields are exported because they are decoded by reflection.
type Settings struct {
	Instance Instance
	Listen   Listen
	Control  Control
	Entry    Entry
	Gateway  Gateway
	Limits   Limits
	Platform Platform
	Log      Log

	file     string
	sections map[string]*inifile.Section
}

// Instance identifies the process.
type Instance struct {
	Name          string        `ini:"name" required:"true" doc:"Name of the instance, unique in the deployment."`
	FailureDomain string        `ini:"failure-domain" required:"true" doc:"Failure domain that the instance runs in."`
	Roles         []string      `ini:"roles" required:"true" doc:"Roles of the instance: entry or gateway, control or both."`
	DataFolder    string        `ini:"data-folder" doc:"Folder for durable state. Required for the role control; its disk must honour syncs."`
	Credentials   string        `ini:"credentials" doc:"Folder with instance.crt, instance.key and authority.crt. Changed files are used for the next connection. Empty: connections between the system's own processes are neither encrypted nor authenticated, for a network that nobody else reaches; the role entry needs credentials."`
	MemoryTarget  inifile.Bytes `ini:"memory-target" default:"112MiB" min:"16777216" doc:"Memory that the garbage collector tries to stay below. It is no bound: open requests are bounded by max-open and whole-memory."`
}

// Listen holds the addresses at which the instance listens and is reached.
type Listen struct {
	Callers   netip.AddrPort `ini:"callers" doc:"Address for callers' requests. Required for the roles entry and gateway."`
	Readiness netip.AddrPort `ini:"readiness" doc:"Address at which the platform's balancer asks whether the instance is ready. Required for the role gateway."`
	Operators netip.AddrPort `ini:"operators" doc:"Address for the platform's operator. Without it the role control takes changes from the command line only."`
	Peers     netip.AddrPort `ini:"peers" required:"true" doc:"Address for the system's own processes and for operators."`
	// Advertised differs from Peers if connections reach the instance through a forwarder.
	Advertised netip.AddrPort `ini:"advertised-peers" doc:"Address at which the system's own processes reach this one, where that is not the address it listens at."`
	Source     netip.AddrPort `ini:"source" doc:"Address that connections to the system's own processes come from; port 0 is any port. Empty leaves both to the operating system."`
	Handover   netip.AddrPort `ini:"handover" doc:"Address at which the role gateway takes requests that other instances hand over to it because they have lost their targets. Without it the instance takes none."`
	Health     netip.AddrPort `ini:"health" required:"true" doc:"Address for /healthz, /readyz and /metrics."`
}

// Control names the replicas of the configuration and sets the timing of replication.
type Control struct {
	Replicas        []inifile.Peer   `ini:"replicas" doc:"Instances that replicate the configuration. Either these or seeds are required."`
	Seeds           []netip.AddrPort `ini:"seeds" doc:"Addresses of some replicas, from which the others are learned. Only the IP numbers count: all instances listen for peers at the same port. Replicas then join and leave the log by themselves. Read again when the file changes."`
	BootstrapLog    bool             `ini:"found-log" default:"false" doc:"Whether the seeds are the first replicas of a new log. Only for the first start of a deployment, with empty data folders."`
	DomainPeers     []inifile.Peer   `ini:"domain-peers" doc:"Other instances of the failure domain, which hand on the configuration while no replica can be reached."`
	Heartbeat       time.Duration    `ini:"heartbeat" default:"250ms" min:"1000000" doc:"Interval between a leader's heartbeats."`
	ElectionTimeout time.Duration    `ini:"election-timeout" default:"750ms" min:"10000000" doc:"Shortest silence of the leader after which a replica campaigns."`
	ClockMargin     time.Duration    `ini:"clock-margin" default:"100ms" doc:"Part of the leader's lease that covers clocks of different rates."`
	SnapshotEvery   int              `ini:"snapshot-every" default:"1000" min:"10" doc:"Number of log records after which a snapshot is taken."`
	SnapshotBytes   inifile.Bytes    `ini:"snapshot-bytes" default:"4MiB" min:"65536" doc:"Bytes of log records after which a snapshot is taken, however few records they are."`
	WatchWait       time.Duration    `ini:"watch-wait" default:"4s" min:"100000000" doc:"Longest wait of an instance for a new version before it asks again; also the interval at which it is seen to be alive."`
}

// Entry holds the limits of the role entry.
type Entry struct {
	MaxBody            inifile.Bytes `ini:"max-body" default:"1MiB" min:"1" doc:"Largest request body."`
	MaxOpen            int           `ini:"max-open" default:"4000" min:"1" doc:"Requests that may be open at once; more are refused."`
	MaxQueue           int           `ini:"max-queue" default:"2000" min:"1" doc:"Requests that may wait for a target."`
	BufferMemory       inifile.Bytes `ini:"whole-memory" default:"48MiB" min:"1" doc:"Memory for answers that are held until they are whole. Beyond it, requests of delivery whole are refused before they start."`
	MaxAnswer          inifile.Bytes `ini:"max-answer" default:"4MiB" min:"1" doc:"Largest answer held for delivery whole. A longer one ends as incomplete."`
	DialTimeout        time.Duration `ini:"dial-timeout" default:"1s" min:"1000000" doc:"Bound on connecting to a target."`
	CallerWriteTimeout time.Duration `ini:"caller-write-timeout" default:"30s" min:"1000000" doc:"How long a caller may leave an answer unread before its request is cancelled."`
	LoadInterval       time.Duration `ini:"load-interval" default:"500ms" min:"10000000" doc:"Interval between readings of a target's load."`
	KeeperTimeout      time.Duration `ini:"keeper-timeout" default:"500ms" min:"1000000" doc:"Bound on one round of calls to the keepers of a failure domain."`
	ReadinessDelay     time.Duration `ini:"readiness-delay" default:"3s" doc:"How long a stopping instance still takes requests after its readiness fails, so that the balancer can see it."`
	KeeperRecords      int           `ini:"keeper-records" default:"20000" min:"1" doc:"Records of non-idempotent requests that this instance keeps; beyond it, such requests are refused."`
	KeeperAnswerBytes  inifile.Bytes `ini:"keeper-answer-bytes" default:"2KiB" doc:"Largest answer that is kept for a repeated non-idempotent request."`
	TraceFile          string        `ini:"trace-file" doc:"File to which request events are written as JSON lines for replay. Empty writes none."`
}

// Gateway holds the limits of the role gateway.
type Gateway struct {
	MaxOpen        int           `ini:"max-open" default:"1500" min:"1" doc:"Requests that may be open at once; more are refused."`
	DialTimeout    time.Duration `ini:"dial-timeout" default:"250ms" min:"1000000" doc:"Bound on connecting to a target."`
	RetryWindow    time.Duration `ini:"retry-window" default:"10s" min:"1000000" doc:"Window in which repeated requests are counted."`
	RetryRatio     float64       `ini:"retry-ratio" default:"0.18" min:"0" doc:"Part of a service's requests that may be sent once more within a window."`
	RetryReserve   float64       `ini:"retry-spare" default:"2" min:"0" doc:"Requests of a service that each instance may send once more within a window beside that part."`
	RetrySlack     float64       `ini:"retry-slack" default:"40" min:"0" doc:"Requests of a service that all instances together may send once more within a window, in addition to what each may. Each has an equal share, while it is told how many there are. An instance has its share from a window and a quarter after its start on, and half of retry-spare: a process before it may have used the other half. 0: no such share, and all of retry-spare."`
	CopyFromTokens int           `ini:"copy-from-tokens" default:"200" min:"0" doc:"Longest output in tokens from which on an engine's memory of a run is copied to another engine, so that the run can go on there."`
	CopyAfter      time.Duration `ini:"copy-after" default:"500ms" min:"0" doc:"How long after a run's first event the copy that is made while it goes on counts as there."`
	StopDelay      time.Duration `ini:"stop-delay" default:"2500ms" doc:"How long a stopping instance still serves at least, so that the balancer sees that it is not ready."`
	BufferMemory   inifile.Bytes `ini:"buffer-memory" default:"16MiB" min:"1" doc:"Memory for long answers of targets that are read whole, all together, and for long events of streams. Beyond it a long answer is passed on as it arrives, and a stream with a long event is cut."`
	Queue          bool          `ini:"queue-generations" default:"false" doc:"Whether generations wait at the gateway until an engine is forecast to have capacity, in order of rank and in fair shares of organisations, where the ranks of the routes of a service differ or several organisations have keys. Otherwise they are sent at once and wait at engines. While demand exceeds the capacity for long, fewer are in time with it."`
	MaxTargetWait  time.Duration `ini:"max-target-wait" default:"60s" min:"0" doc:"Longest time for which a target that refuses a request can ask to get none; a longer one counts as this."`
	StopGrace      time.Duration `ini:"stop-grace" default:"8s" min:"1000000000" doc:"How long after SIGTERM the process is killed. A stopping instance serves until shortly before."`
}

// Limits bounds what clients that are not controlled can take of an instance.
type Limits struct {
	MaxConnections        int           `ini:"max-connections" default:"2500" min:"1" doc:"Connections that may be open at one listener. Beyond it the oldest connection that has not sent a complete request head is closed, or else the new one."`
	MaxAddressConnections int           `ini:"max-address-connections" default:"0" min:"0" doc:"Connections from one address that may be open at one listener; 0 is any number. Callers that a load balancer forwards may all have one address."`
	MaxUnreadHeads        int           `ini:"max-unread-heads" default:"512" min:"1" doc:"Connections at one listener that may not have sent a complete request head yet. Beyond it the oldest of them is closed."`
	MaxAddressUnreadHeads int           `ini:"max-address-unread-heads" default:"0" min:"0" doc:"Connections from one address that may not have sent a complete request head yet; 0 is any number."`
	BodyMemory            inifile.Bytes `ini:"body-memory" default:"24MiB" min:"65536" doc:"Memory for the bodies of requests above 16 KiB, all together, taken as they arrive. Beyond it slow and stopped senders are refused first. A body over this size is always refused."`
	BodyTimeout           time.Duration `ini:"body-timeout" default:"10s" min:"1000000" doc:"Bound on reading the body of a caller's request."`
	BodyStall             time.Duration `ini:"body-stall" default:"5s" min:"1000000" doc:"How long the sender of a body may send nothing."`
	BodyRate              inifile.Bytes `ini:"body-rate" default:"64KiB" min:"1" doc:"Bytes a second below which the sender of a body is refused first when memory for bodies is short."`
	ConfigurationTimeout  time.Duration `ini:"configuration-timeout" default:"60s" min:"1000000" doc:"Bound on reading a configuration that the platform's operator sends."`
	PeerMemory            inifile.Bytes `ini:"peer-memory" default:"20MiB" min:"16777216" doc:"Memory for messages above 16 KiB of the system's own processes that are being read, all together. A connection beyond it is closed."`
}

// Platform names the platform's list of live and leaving targets and sets the intervals
// at which the list and the engines' reports are read.
type Platform struct {
	ListURL        string        `ini:"list-url" doc:"URL of the platform's list of targets. Empty uses the declared targets only. With seeds, the replicas read it and hand it on."`
	PollInterval   time.Duration `ini:"poll-interval" default:"500ms" min:"10000000" doc:"Interval between readings of the list."`
	ReportInterval time.Duration `ini:"report-interval" default:"500ms" min:"10000000" doc:"Interval between readings of an engine's report, in deployments with seeds: each replica reads the engines of its failure domain."`
}

// Log sets what is logged.
type Log struct {
	Level string `ini:"level" default:"info" oneof:"error|info|debug" doc:"Least severe level that is logged."`
}

// SectionDoc describes one section for the settings page.
type SectionDoc struct {
	Name   string
	Doc    string
	Fields []inifile.Field
}

// Sections describes every section in file order.
func Sections() []SectionDoc {
	return []SectionDoc{
		{"instance", "Who this process is.", inifile.Fields(Instance{})},
		{"listen", "Addresses of this process. Only IP numbers are accepted.", inifile.Fields(Listen{})},
		{"control", "The replicated configuration.", inifile.Fields(Control{})},
		{"entry", "Bounds on the work of the role entry.", inifile.Fields(Entry{})},
		{"gateway", "Bounds on the work of the role gateway.", inifile.Fields(Gateway{})},
		{"limits", "Bounds on what clients take of the instance, whatever they send.", inifile.Fields(Limits{})},
		{"platform", "The platform's list of targets.", inifile.Fields(Platform{})},
		{"log", "Logs, written to standard output as JSON lines.", inifile.Fields(Log{})},
	}
}

// Load reads a settings file. It returns an error if the file cannot be read, or one
// that lists every finding.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, found := Parse(path, data)
	return s, found.Err()
}

// Parse decodes the contents of a settings file and returns all findings.
func Parse(file string, data []byte) (*Settings, finding.List) {
	sections, found := inifile.Parse(file, data)
	s := &Settings{file: file, sections: map[string]*inifile.Section{}}
	destinations := map[string]any{
		"instance": &s.Instance, "listen": &s.Listen, "control": &s.Control,
		"entry": &s.Entry, "gateway": &s.Gateway, "limits": &s.Limits, "platform": &s.Platform, "log": &s.Log,
	}
	for _, section := range sections {
		if _, ok := destinations[section.ID()]; !ok {
			found.Add(file, section.Line(), "", "unknown section [%s]", section.ID())
			continue
		}
		s.sections[section.ID()] = section
	}
	for _, doc := range Sections() {
		section := s.sections[doc.Name]
		if section == nil {
			section = inifile.NewSection(file, doc.Name, "", 0)
			s.sections[doc.Name] = section
		}
		found.Merge(inifile.Decode(section, destinations[doc.Name]))
	}
	s.check(&found)
	return s, found
}

// PeerAddress returns the address at which the system's own processes reach this one.
func (s *Settings) PeerAddress() netip.AddrPort {
	if s.Listen.Advertised.IsValid() {
		return s.Listen.Advertised
	}
	return s.Listen.Peers
}

// File returns the path that the settings were read from.
func (s *Settings) File() string { return s.file }

// Has reports whether the instance has the role.
func (s *Settings) Has(role string) bool { return slices.Contains(s.Instance.Roles, role) }

func (s *Settings) check(found *finding.List) {
	for _, role := range s.Instance.Roles {
		if role != RoleEntry && role != RoleControl && role != RoleGateway {
			s.addFinding(found, "instance", "roles", "%q is neither entry, gateway nor control", role)
		}
	}
	s.checkGateway(found)
	if s.Has(RoleControl) && s.Instance.DataFolder == "" {
		s.addFinding(found, "instance", "data-folder", "the role control needs a data folder")
	}
	if s.Has(RoleEntry) && !s.Listen.Callers.IsValid() {
		s.addFinding(found, "listen", "callers", "the role entry needs an address for callers")
	}
	if s.Has(RoleControl) && len(s.Control.Seeds) == 0 && !s.replicasIncludeSelf() {
		s.addFinding(found, "control", "replicas", "the role control needs this instance, %q at its peers address, among the replicas", s.Instance.Name)
	}
	if s.Control.ElectionTimeout < 3*s.Control.Heartbeat {
		s.addFinding(found, "control", "election-timeout", "less than three heartbeats")
	}
	if s.Entry.KeeperTimeout > maxKeeperTimeout {
		s.addFinding(found, "entry", "keeper-timeout", "above %s, the longest that the keepers allow", maxKeeperTimeout)
	}
	if s.Control.ClockMargin >= s.Control.ElectionTimeout {
		s.addFinding(found, "control", "clock-margin", "not below the election timeout")
	}
	s.checkLimits(found)
	s.checkAddresses(found)
}

// maxConfigurationBytes is the largest configuration that the platform's operator may send.
const maxConfigurationBytes = 16 << 20

// checkLimits checks that the limits on clients leave room for what is legal.
func (s *Settings) checkLimits(found *finding.List) {
	l := s.Limits
	if s.Listen.Operators.IsValid() && l.BodyMemory < maxConfigurationBytes {
		s.addFinding(found, "limits", "body-memory", "below %d bytes, the largest configuration", maxConfigurationBytes)
	}
	if s.Has(RoleEntry) && l.BodyMemory < s.Entry.MaxBody {
		s.addFinding(found, "limits", "body-memory", "below max-body, %d bytes", s.Entry.MaxBody)
	}
	if l.MaxUnreadHeads > l.MaxConnections {
		s.addFinding(found, "limits", "max-unread-heads", "above max-connections, %d", l.MaxConnections)
	}
}

// checkGateway checks the requirements of gateways and of deployments with seeds.
func (s *Settings) checkGateway(found *finding.List) {
	if s.Has(RoleGateway) && s.Has(RoleEntry) {
		s.addFinding(found, "instance", "roles", "entry and gateway serve the same address")
	}
	if s.Has(RoleGateway) && (!s.Listen.Callers.IsValid() || !s.Listen.Readiness.IsValid()) {
		s.addFinding(found, "listen", "callers", "the role gateway needs addresses for callers and readiness")
	}
	if s.Has(RoleGateway) && len(s.Control.Seeds) == 0 {
		s.addFinding(found, "control", "seeds", "the role gateway needs seeds")
	}
	if s.Instance.Credentials == "" && s.Has(RoleEntry) {
		s.addFinding(found, "instance", "credentials", "the role entry needs credentials")
	}
	if len(s.Control.Replicas) == 0 && len(s.Control.Seeds) == 0 {
		s.addFinding(found, "control", "replicas", "neither replicas nor seeds")
	}
	if s.Listen.Operators.IsValid() && len(s.Control.Seeds) == 0 {
		s.addFinding(found, "listen", "operators", "the platform's operator is served with seeds only")
	}
}

// SeedPeers returns the peer addresses of the seeds: their IP numbers with this
// instance's own port for peers.
func (s *Settings) SeedPeers() []string {
	var out []string
	for _, seed := range s.Control.Seeds {
		out = append(out, netip.AddrPortFrom(seed.Addr(), s.Listen.Peers.Port()).String())
	}
	return out
}

func (s *Settings) replicasIncludeSelf() bool {
	for _, p := range s.Control.Replicas {
		if p.Name == s.Instance.Name && p.Address == s.PeerAddress() {
			return true
		}
	}
	return false
}

// Listener is an address at which an instance listens.
type Listener struct {
	Key     string // of the setting
	Address netip.AddrPort
}

// Listeners returns the addresses at which the instance listens.
func (l *Listen) Listeners() []Listener {
	all := []Listener{{"callers", l.Callers}, {"readiness", l.Readiness}, {"operators", l.Operators}, {"peers", l.Peers}, {"handover", l.Handover}, {"health", l.Health}}
	return slices.DeleteFunc(all, func(listener Listener) bool { return !listener.Address.IsValid() })
}

func (s *Settings) checkAddresses(found *finding.List) {
	used := map[netip.AddrPort]string{}
	for _, listener := range s.Listen.Listeners() {
		if first, dup := used[listener.Address]; dup {
			s.addFinding(found, "listen", listener.Key, "%s is the address of %s already", listener.Address, first)
		}
		used[listener.Address] = listener.Key
	}
	checkPeers(s, "replicas", s.Control.Replicas, found)
	checkPeers(s, "domain-peers", s.Control.DomainPeers, found)
}

func checkPeers(s *Settings, key string, peers []inifile.Peer, found *finding.List) {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for _, p := range peers {
		if names[p.Name] || addresses[p.Address] {
			s.addFinding(found, "control", key, "%s@%s stands twice", p.Name, p.Address)
		}
		names[p.Name], addresses[p.Address] = true, true
	}
}

func (s *Settings) addFinding(found *finding.List, section, key, format string, args ...any) {
	line := s.sections[section].Line()
	if k, ok := s.sections[section].Lookup(key); ok {
		line = k.Line()
	}
	found.Add(s.file, line, key, format, args...)
}
