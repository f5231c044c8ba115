// Package instance assembles the roles of one process and runs them from start
// to a graceful stop.
package instance

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/base"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/entry"
	"github.com/vanillaward/vanillaward/internal/evidence"
	"github.com/vanillaward/vanillaward/internal/gateway"
	"github.com/vanillaward/vanillaward/internal/idempotency"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/orders"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/replog"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/telemetry"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/trace"
)

const (
	healthHeaderTimeout = 5 * time.Second
	// replicaIDLength is the number of characters in a replica ID. It is short
	// because every heartbeat carries the IDs.
	replicaIDLength = 10
)

// Instance is one process of the system, with all of its roles.
type Instance struct {
	base      base.Base
	logs      *telemetry.Writer
	store     *config.Store
	server    *peer.Server
	node      *control.Node
	entry     *entry.Server
	keeper    *idempotency.LocalKeeper
	guard     *idempotency.Guard
	recorder  *trace.Recorder
	traceFile *os.File
	gateway   []gateway.Option
	// serving is the gateway with that role, once it is started.
	serving atomic.Pointer[gateway.Server]
}

// Option configures an instance.
type Option func(*Instance)

// WithGateway sets options of the gateway, if the instance is one.
func WithGateway(options ...gateway.Option) Option {
	return func(i *Instance) { i.gateway = append(i.gateway, options...) }
}

// New returns an instance with the given settings, which Run starts. It returns
// an error if the credentials cannot be loaded or the trace file cannot be opened.
func New(s *settings.Settings, options ...Option) (*Instance, error) {
	creds := peer.PlainCredentials()
	if s.Instance.Credentials != "" {
		var err error
		if creds, err = peer.LoadCredentials(s.Instance.Credentials); err != nil {
			return nil, err
		}
	}
	creds.SetSourceAddress(s.Listen.Source)
	debug.SetMemoryLimit(int64(s.Instance.MemoryTarget))
	measured := telemetry.NewMetrics()
	traffic := peer.NewTraffic(func(m peer.Message) { measured.PeerMessage(m.Method(), m.Sent(), m.Bytes()) })
	logs := telemetry.NewWriter(os.Stdout)
	log := telemetry.NewLog(logs, s.Log.Level).WithValues("instance", s.Instance.Name)
	creds.SetLog(log)
	i := &Instance{
		base: base.Base{
			Log: log, Settings: s, Timers: timer.New(), Credentials: creds, Traffic: traffic, Metrics: measured,
		},
		logs:   logs,
		store:  config.NewStore(),
		server: peer.NewServer(log, creds, traffic, peer.WithMemory(int64(s.Limits.PeerMemory))),
	}
	i.prepareLimits()
	for _, option := range options {
		option(i)
	}
	i.base.Metrics.Gauge("vanillaward_log_lines_dropped", func() float64 { return float64(logs.Dropped()) })
	i.base.Metrics.Gauge("vanillaward_peer_sent_bytes", func() float64 { return float64(traffic.Sent()) })
	i.base.Metrics.Gauge("vanillaward_peer_received_bytes", func() float64 { return float64(traffic.Received()) })
	return i, i.openTrace()
}

func (i *Instance) openTrace() error {
	name := i.base.Settings.Entry.TraceFile
	if name == "" {
		return nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the path comes from the operator's settings
	if err != nil {
		return errors.Wrap(err, "cannot open trace file")
	}
	i.traceFile, i.recorder = f, trace.NewRecorder(f, i.base.Settings.Instance.Name)
	return nil
}

// Run runs the instance until stop is closed, then stops it gracefully. Cancelling
// the context stops it at once. It returns an error if the instance cannot start; errors
// of components that are running are only logged.
func (i *Instance) Run(ctx context.Context, stop <-chan struct{}) error {
	defer i.logs.Close()
	if len(i.base.Settings.Control.Seeds) > 0 {
		return i.runSeeded(ctx, stop)
	}
	return i.runListed(ctx, stop)
}

// runListed runs an instance whose settings list the replicas.
func (i *Instance) runListed(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	var componentsDone []<-chan error
	if i.base.Settings.Has(settings.RoleControl) {
		done, err := i.startControl(ctx)
		if err != nil {
			return err
		}
		componentsDone = append(componentsDone, done...)
	}
	if i.base.Settings.Has(settings.RoleEntry) {
		componentsDone = append(componentsDone, i.prepareEntry(ctx)...)
	}
	subscriber := i.subscriber()
	i.server.Register("Config", func(peer.Caller) any { return config.NewPeerService(i.store) })
	componentsDone = append(componentsDone, i.server.Serve(ctx, i.limitConnections("peers", listeners.peers)), i.serveHealth(ctx, listeners.health), i.returnMemory(ctx), subscriber.Run(ctx))
	var entryDone <-chan error
	if i.entry != nil {
		entryDone = i.entry.Run(ctx, i.limitClients("callers", listeners.callers))
		go i.markReady(ctx, subscriber)
	}
	i.base.Log.Info("started", "failure-domain", i.base.Settings.Instance.FailureDomain, "roles", i.base.Settings.Instance.Roles)
	i.waitForStop(ctx, stop, entryDone)
	cancel()
	for _, done := range componentsDone {
		if err := <-done; err != nil {
			i.base.Log.Error(err, "component stopped with an error")
		}
	}
	if i.guard != nil {
		i.guard.Close()
	}
	if i.traceFile != nil {
		_ = i.traceFile.Close() // traces are written on a best-effort basis
	}
	i.base.Log.Info("stopped")
	return nil
}

// waitForStop waits until stop is closed or the context is cancelled, then stops
// the entry gracefully and waits for it.
func (i *Instance) waitForStop(ctx context.Context, stop <-chan struct{}, entryDone <-chan error) {
	select {
	case <-stop:
	case <-ctx.Done():
	}
	if i.entry == nil {
		return
	}
	i.entry.Stop(ctx)
	if err := <-entryDone; err != nil {
		i.base.Log.Error(err, "serving callers failed")
	}
}

// markReady makes the entry ready for requests once the subscriber has queried every
// configuration source and a configuration is in force. Until then the instance
// could hold an older configuration than it served before a restart.
func (i *Instance) markReady(ctx context.Context, subscriber *config.Subscriber) {
	select {
	case <-subscriber.InitialSyncDone():
	case <-ctx.Done():
		return
	}
	for i.store.Current() == nil {
		select {
		case <-i.store.Changed():
		case <-ctx.Done():
			return
		}
	}
	i.entry.MarkReady()
}

type listeners struct {
	peers   net.Listener
	health  net.Listener
	callers net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var out listeners
	l := i.base.Settings.Listen
	var err error
	if out.peers, err = net.Listen("tcp", l.Peers.String()); err != nil {
		return out, errors.Wrap(err, "cannot listen for peers")
	}
	if out.health, err = net.Listen("tcp", l.Health.String()); err != nil {
		return out, errors.Wrap(err, "cannot listen for health checks")
	}
	if i.base.Settings.Has(settings.RoleEntry) {
		if out.callers, err = net.Listen("tcp", l.Callers.String()); err != nil {
			return out, errors.Wrap(err, "cannot listen for callers")
		}
	}
	return out, nil
}

func (i *Instance) self() inifile.Peer {
	return inifile.Peer{Name: i.base.Settings.Instance.Name, Address: i.base.Settings.PeerAddress()}
}

// startControl starts the configuration replica and the order issuer. Each
// returned channel reports the end of one component.
func (i *Instance) startControl(ctx context.Context) ([]<-chan error, error) {
	s := i.base.Settings
	log := i.base.Log.WithValues("role", "control")
	published := config.NewStore()
	publisher := control.NewPublisher(randomSeed())
	transport, err := i.prepareNode(ctx, log, published, newReplicaID(), control.WithPublisher(publisher))
	if err != nil {
		return nil, err
	}
	service := control.NewService(ctx, i.node, published, i.base.Timers, peer.NewPool(i.base.Credentials, i.base.Traffic), i.self())
	service.Register(i.server)
	issuer := orders.NewIssuer(log, i.node, i.base.Timers, i.timing(), s.Instance.Name)
	transportDone := make(chan error, 1)
	nodeDone := i.node.Run(ctx)
	go func() {
		<-ctx.Done()
		transport.Wait()
		transportDone <- nil
	}()
	return []<-chan error{nodeDone, transportDone, issuer.Run(ctx), service.KeepEvidence(ctx)}, nil
}

// prepareNode creates the replica on the data folder and returns its transport.
// The id becomes the replica's identity if the folder is empty.
func (i *Instance) prepareNode(ctx context.Context, log logr.Logger, published *config.Store, id string, options ...control.Option) (*control.PeerTransport, error) {
	s := i.base.Settings
	disk, err := storage.NewDir(s.Instance.DataFolder)
	if err != nil {
		return nil, err
	}
	transport := control.NewPeerTransport(ctx, log, s.PeerAddress().String(), i.base.Credentials, i.base.Traffic)
	options = append(options, control.WithTiming(i.timing()), control.WithSnapshotEvery(s.Control.SnapshotEvery),
		control.WithSnapshotBytes(int64(s.Control.SnapshotBytes)))
	i.node = control.NewNode(log, disk, i.base.Timers, transport, published, id, randomSeed(), options...)
	return transport, nil
}

// timing returns the heartbeat interval, election timeout and clock margin of the
// replicated log.
func (i *Instance) timing() replog.Timing {
	c := i.base.Settings.Control
	return replog.Timing{Heartbeat: c.Heartbeat, Election: c.ElectionTimeout, Margin: c.ClockMargin}
}

func newReplicaID() string { return idempotency.NewIdentity()[:replicaIDLength] }

// prepareEntry creates the keeper, the guard and the entry, and starts the keeper and the exchange of evidence.
func (i *Instance) prepareEntry(ctx context.Context) []<-chan error {
	i.keeper = idempotency.NewLocalKeeper(i.base, i.store)
	i.guard = idempotency.NewGuard(i.base, i.store, i.keeper)
	idempotency.Register(i.server, i.keeper, i.guard)
	crashes := evidence.New(i.base)
	i.entry = entry.New(i.base, i.store, i.guard, i.recorder, crashes, randomSeed())
	return []<-chan error{i.keeper.Run(ctx), evidence.NewExchanger(i.base, crashes, i.base.Settings.Control.Replicas).Run(ctx)}
}

func (i *Instance) subscriber() *config.Subscriber {
	s := i.base.Settings
	return config.NewSubscriber(i.base.Log, i.store, i.self(), s.Instance.FailureDomain, s.Control.WatchWait,
		localReplicaFirst(s), s.Control.DomainPeers, i.base.Credentials, i.base.Traffic)
}

// localReplicaFirst returns the replicas with this instance's own replica first.
func localReplicaFirst(s *settings.Settings) []inifile.Peer {
	var out, others []inifile.Peer
	for _, p := range s.Control.Replicas {
		if p.Name == s.Instance.Name {
			out = append(out, p)
			continue
		}
		others = append(others, p)
	}
	return append(out, others...)
}

// serveHealth serves /healthz, /readyz, /metrics, /where and profiles.
func (i *Instance) serveHealth(ctx context.Context, listener net.Listener) <-chan error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", i.readiness)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.base.Metrics.Write(w) })
	mux.HandleFunc("GET "+gateway.PathWhere, i.where)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	server := smallServer(mux)
	server.WriteTimeout = profileTimeout
	return serveHTTP(ctx, i.limitConnections("health", listener), server)
}

// where says where the gateway would send a request.
func (i *Instance) where(w http.ResponseWriter, r *http.Request) {
	g := i.serving.Load()
	if g == nil {
		http.Error(w, "this instance is no gateway, or is starting", http.StatusNotFound)
		return
	}
	g.ServeWhere(w, r)
}

// readiness responds with status 503 while the instance should not receive
// requests. With ?keepers=1 it also does so while the instance's keeper does not
// vote.
func (i *Instance) readiness(w http.ResponseWriter, r *http.Request) {
	ready := i.entry == nil || i.entry.Ready()
	if r.URL.Query().Get("keepers") != "" && i.keeper != nil {
		ready = ready && i.keeper.Voting()
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // the balancer may have disconnected
}

func randomSeed() uint64 { return uint64(time.Now().UnixNano()) }
