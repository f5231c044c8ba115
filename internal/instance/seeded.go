package instance

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/fleet"
	"github.com/vanillaward/vanillaward/internal/follow"
	"github.com/vanillaward/vanillaward/internal/gateway"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/settings"
	"github.com/vanillaward/vanillaward/internal/wire"
	"github.com/vanillaward/vanillaward/platform"
)

// seeded is an instance that discovers the replicas from seed addresses.
type seeded struct {
	*Instance
	seeds          *settings.Seeds
	peers          *peer.Pool
	control        *control.Service // nil without that role
	componentsDone []<-chan error
}

// runSeeded runs an instance whose settings contain seed addresses until stop is closed,
// then stops it gracefully.
func (i *Instance) runSeeded(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &seeded{
		Instance: i, peers: peer.NewPool(i.base.Credentials, i.base.Traffic),
		seeds: settings.NewSeeds(i.base.Log, i.base.Timers, i.base.Settings.File(), i.base.Settings),
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s.componentsDone = append(s.componentsDone, s.seeds.Run(ctx, reload))
	gatewayDone, err := s.start(ctx, stop)
	if err != nil {
		return err
	}
	l := i.base.Settings.Listen
	i.base.Log.Info("started", "failure-domain", i.base.Settings.Instance.FailureDomain, "roles", i.base.Settings.Instance.Roles,
		"peers", l.Peers.String(), "seeds", s.seeds.Peers())
	select {
	case <-stop:
	case <-ctx.Done():
	}
	i.base.Log.Info("stop requested")
	if gatewayDone != nil {
		if err := <-gatewayDone; err != nil {
			i.base.Log.Error(err, "serving callers failed")
		}
	}
	s.leaveLog(ctx)
	cancel()
	for _, done := range s.componentsDone {
		if err := <-done; err != nil {
			i.base.Log.Error(err, "component stopped with an error")
		}
	}
	s.peers.Close()
	i.base.Log.Info("stopped")
	return nil
}

// start starts the roles. The returned channel reports the end of the gateway; it
// is nil without that role.
func (s *seeded) start(ctx context.Context, stop <-chan struct{}) (<-chan error, error) {
	l := s.base.Settings.Listen
	peers, err := listen(l.Peers.String())
	if err != nil {
		return nil, err
	}
	health, err := listen(l.Health.String())
	if err != nil {
		return nil, err
	}
	if s.base.Settings.Has(settings.RoleControl) {
		if err := s.startControl(ctx); err != nil {
			return nil, err
		}
	}
	s.componentsDone = append(s.componentsDone, s.server.Serve(ctx, s.limitConnections("peers", peers)), s.serveHealth(ctx, health), s.returnMemory(ctx))
	if !s.base.Settings.Has(settings.RoleGateway) {
		return nil, nil
	}
	return s.startGateway(ctx, stop)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "cannot listen on an address of this instance")
}

// initialVoters returns the initial voters of a new log: the seeds, with IDs that
// are derived from their addresses, so that all seeds compute the same membership
// without communication. It returns nil unless the settings ask to bootstrap a
// new log.
func (s *seeded) initialVoters() *wire.Membership {
	if !s.base.Settings.Control.BootstrapLog {
		return nil
	}
	m := &wire.Membership{}
	for _, address := range s.base.Settings.SeedPeers() {
		m.Replicas = append(m.Replicas, &wire.Replica{Id: initialVoterID(address), Name: address, Address: address})
	}
	return m
}

func initialVoterID(address string) string { return "founder-" + address }

func (s *seeded) startControl(ctx context.Context) error {
	cfg := s.base.Settings
	voters := s.initialVoters()
	id := newReplicaID()
	for _, r := range voters.GetReplicas() {
		if r.GetAddress() == cfg.PeerAddress().String() {
			id = r.GetId()
		}
	}
	log := s.base.Log.WithValues("role", "control")
	publisher := control.NewPublisher(randomSeed())
	published := config.NewStore()
	if _, err := s.prepareNode(ctx, log, published, id, control.WithPublisher(publisher), control.WithInitialVoters(voters), control.WithRejoining()); err != nil {
		return err
	}
	service := control.NewService(ctx, s.node, published, s.base.Timers, s.peers, s.self(), control.WithFailureDomain(cfg.Instance.FailureDomain))
	service.Register(s.server)
	s.control = service
	s.registerGauges(ctx)
	s.componentsDone = append(s.componentsDone, s.node.Run(ctx), service.MaintainMembership(ctx, s.seeds.Peers), service.KeepEvidence(ctx), service.MeasureLateness(ctx))
	if cfg.Platform.ListURL != "" {
		assignment := control.NewEngineAssignment(service, cfg.Instance.FailureDomain)
		reader := fleet.NewReader(log, s.base.Timers, platform.NewDirectory(log, s.base.Metrics, cfg.Platform.ListURL), publisher, cfg.Platform.PollInterval, s.shouldReadList(ctx))
		prober := fleet.NewProber(log, s.base.Timers, platform.NewEngines(), publisher, assignment, cfg.Platform.ReportInterval)
		s.componentsDone = append(s.componentsDone, assignment.Run(ctx), reader.Run(ctx), prober.Run(ctx))
	}
	if !cfg.Listen.Operators.IsValid() {
		return nil
	}
	operators, err := listen(cfg.Listen.Operators.String())
	if err != nil {
		return err
	}
	s.componentsDone = append(s.componentsDone, serveHTTP(ctx, s.limitClients("operators", operators), s.operatorServer(log, service)))
	return nil
}

// shouldReadList returns a function that reports whether this replica should read
// the platform's target list: the leader does, and so does a replica without
// contact to the leader.
func (s *seeded) shouldReadList(ctx context.Context) func() bool {
	return func() bool {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		status, err := s.node.LogStatus(ctx)
		// Without a known state or a recent heartbeat from the leader, the replica reads the list itself.
		return err != nil || status.Leader() == s.base.Settings.PeerAddress().String() || !status.LeaderReachable()
	}
}

// leaveLog announces to the other replicas that this one stops.
func (s *seeded) leaveLog(ctx context.Context) {
	if s.control == nil || ctx.Err() != nil {
		return
	}
	if err := s.control.Leave(ctx); err != nil {
		s.base.Log.Info("stopping; the other replicas could not be told", "reason", err.Error())
	}
}

// registerGauges registers metrics for the numbers of voters and learners in the
// membership that the replica has, and whether it is among them.
func (s *seeded) registerGauges(ctx context.Context) {
	gauge := func(value func(control.LogStatus) int) func() float64 {
		return func() float64 {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			got, err := s.node.LogStatus(ctx)
			if err != nil {
				return 0 // the replica has stopped, which it logs itself
			}
			return float64(value(got))
		}
	}
	s.base.Metrics.Gauge("vanillaward_control_voters", gauge(control.LogStatus.Voters))
	s.base.Metrics.Gauge("vanillaward_control_learners", gauge(control.LogStatus.Learners))
	s.base.Metrics.Gauge("vanillaward_control_late_seconds", func() float64 { return s.control.Lateness().Seconds() })
	s.base.Metrics.Gauge("vanillaward_control_slow_down", func() float64 { return s.control.SlowDown() })
	s.base.Metrics.Gauge("vanillaward_control_answers_shed", func() float64 { return float64(s.control.Shed()) })
	s.base.Metrics.Gauge("vanillaward_control_member", gauge(func(status control.LogStatus) int {
		if status.Member() {
			return 1
		}
		return 0
	}))
}

// statusTimeout is the timeout of a query for the replica's state, made for its
// metrics and its reader of the platform's target list.
const statusTimeout = 500 * time.Millisecond

func (s *seeded) startGateway(ctx context.Context, stop <-chan struct{}) (<-chan error, error) {
	cfg := s.base.Settings
	callers, err := listen(cfg.Listen.Callers.String())
	if err != nil {
		return nil, err
	}
	readiness, err := listen(cfg.Listen.Readiness.String())
	if err != nil {
		return nil, err
	}
	g := gateway.New(s.base, platform.Dialect{}, platform.NewEngines(), platform.DecodeConfig, randomSeed(), s.gateway...)
	s.serving.Store(g)
	follower := follow.New(s.base.Log, s.base.Timers, s.peers, cfg.Instance.Name, cfg.Instance.FailureDomain, s.seeds.Peers, g)
	g.UseExchange(follower)
	follower.UseHelping(g)
	follower.UseSubsets(g)
	follower.UseQueueing(g)
	var takeover net.Listener
	if cfg.Listen.Handover.IsValid() {
		if takeover, err = listen(cfg.Listen.Handover.String()); err != nil {
			return nil, err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := smallServer(mux)
	server.WriteTimeout = readinessTimeout
	s.componentsDone = append(s.componentsDone, follower.Run(ctx), serveHTTP(ctx, s.limitConnections("readiness", readiness), server))
	return g.Run(ctx, callers, takeover, stop), nil
}

// serveHTTP serves until the context is cancelled. The returned channel then
// receives the server's error, or nil if the server was closed by the context.
func serveHTTP(ctx context.Context, listener net.Listener, server *http.Server) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve returns the relevant error
	go func() {
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}
