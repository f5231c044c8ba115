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

const readinessIdle = 30 * time.Second

// seeded is an instance of a deployment that finds its replicas from seeds.
type seeded struct {
	*Instance
	seeds *settings.Seeds
	peers *peer.Pool
	ends  []<-chan error
}

// runSeeded runs the instance until stop is closed, then stops it gracefully.
func (i *Instance) runSeeded(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &seeded{
		Instance: i, peers: peer.NewPool(i.base.Credentials, i.base.Traffic),
		seeds: settings.NewSeeds(i.base.Log, i.base.Timers, i.base.Settings.File(), i.base.Settings),
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s.ends = append(s.ends, s.seeds.Run(ctx, reload))
	gatewayEnd, err := s.start(ctx, stop)
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
	i.base.Log.Info("stop asked for")
	if gatewayEnd != nil {
		if err := <-gatewayEnd; err != nil {
			i.base.Log.Error(err, "serving callers ended")
		}
	}
	cancel()
	for _, end := range s.ends {
		if err := <-end; err != nil {
			i.base.Log.Error(err, "a part ended with an error")
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
	s.ends = append(s.ends, s.server.Serve(ctx, peers), s.serveHealth(ctx, health))
	if !s.base.Settings.Has(settings.RoleGateway) {
		return nil, nil
	}
	return s.startGateway(ctx, stop)
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "address of this instance")
}

// founders returns the first replicas of a new log: the seeds, under identities
// that every one of them can tell without asking.
func (s *seeded) founders() *wire.Membership {
	if !s.base.Settings.Control.FoundLog {
		return nil
	}
	m := &wire.Membership{}
	for _, address := range s.base.Settings.SeedPeers() {
		m.Replicas = append(m.Replicas, &wire.Replica{Id: founderID(address), Name: address, Address: address})
	}
	return m
}

func founderID(address string) string { return "founder-" + address }

func (s *seeded) startControl(ctx context.Context) error {
	set := s.base.Settings
	founders := s.founders()
	id := newReplicaID()
	for _, r := range founders.GetReplicas() {
		if r.GetAddress() == set.PeerAddress().String() {
			id = r.GetId()
		}
	}
	log := s.base.Log.WithValues("role", "control")
	board := control.NewBoard(seed())
	published := config.NewStore()
	if _, err := s.prepareNode(ctx, log, published, id, control.WithBoard(board), control.WithFounders(founders)); err != nil {
		return err
	}
	service := control.NewService(ctx, s.node, published, s.base.Timers, s.peers, s.self())
	service.Register(s.server)
	s.gauges(ctx)
	s.ends = append(s.ends, s.node.Run(ctx), service.KeepPlace(ctx, s.seeds.Peers))
	if set.Platform.List != "" {
		neighbours := control.NewNeighbours(service, set.Instance.FailureDomain)
		reader := fleet.NewReader(log, s.base.Timers, platform.NewDirectory(log, set.Platform.List), board, set.Platform.PollInterval, s.leads(ctx))
		prober := fleet.NewProber(log, s.base.Timers, platform.NewEngines(), board, neighbours, set.Platform.ReportInterval)
		s.ends = append(s.ends, neighbours.Run(ctx), reader.Run(ctx), prober.Run(ctx))
	}
	if !set.Listen.Operators.IsValid() {
		return nil
	}
	operators, err := listen(set.Listen.Operators.String())
	if err != nil {
		return err
	}
	s.ends = append(s.ends, serveHTTP(ctx, operators, platform.NewOperator(log, service).Server()))
	return nil
}

// leads returns a function that tells whether this replica leads.
func (s *seeded) leads(ctx context.Context) func() bool {
	return func() bool {
		ctx, cancel := context.WithTimeout(ctx, gaugeTime)
		defer cancel()
		standing, err := s.node.Standing(ctx)
		// A replica that cannot tell, or is cut off from the leader, reads for itself.
		return err != nil || standing.Leader() == s.base.Settings.PeerAddress().String() || !standing.Fresh()
	}
}

// gauges shows the replica's place in the log.
func (s *seeded) gauges(ctx context.Context) {
	standing := func(value func(control.Standing) int) func() float64 {
		return func() float64 {
			ctx, cancel := context.WithTimeout(ctx, gaugeTime)
			defer cancel()
			got, err := s.node.Standing(ctx)
			if err != nil {
				return 0 // the replica has stopped, which its log tells
			}
			return float64(value(got))
		}
	}
	s.base.Metrics.Gauge("vanillaward_control_voters", standing(control.Standing.Voters))
	s.base.Metrics.Gauge("vanillaward_control_learners", standing(control.Standing.Learners))
}

// gaugeTime bounds the reading of a replica's state for its metrics and its readers.
const gaugeTime = 500 * time.Millisecond

func (s *seeded) startGateway(ctx context.Context, stop <-chan struct{}) (<-chan error, error) {
	set := s.base.Settings
	callers, err := listen(set.Listen.Callers.String())
	if err != nil {
		return nil, err
	}
	readiness, err := listen(set.Listen.Readiness.String())
	if err != nil {
		return nil, err
	}
	g := gateway.New(s.base, platform.Dialect{}, platform.NewEngines(), platform.DecodeConfig, seed())
	follower := follow.New(s.base.Log, s.base.Timers, s.peers, set.Instance.Name, set.Instance.FailureDomain, s.seeds.Peers, g)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: healthHeaderTimeout, IdleTimeout: readinessIdle}
	s.ends = append(s.ends, follower.Run(ctx), serveHTTP(ctx, readiness, server))
	return g.Run(ctx, callers, stop), nil
}

// serveHTTP serves until the context ends and reports its end on the returned
// channel.
func serveHTTP(ctx context.Context, listener net.Listener, server *http.Server) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve reports what matters
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
