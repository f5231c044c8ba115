package settings

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward"
)

// watchInterval is how often the settings file is looked at.
const watchInterval = time.Second

// Seeds are the seeds of the settings file as it is now. All other settings keep
// the values of the start.
type Seeds struct {
	log     logr.Logger
	timers  vanillaward.Timers
	path    string
	current atomic.Pointer[[]string]
	stamp   time.Time
	size    int64
}

// NewSeeds returns the seeds of settings that were loaded from a path.
func NewSeeds(log logr.Logger, timers vanillaward.Timers, path string, s *Settings) *Seeds {
	out := &Seeds{log: log, timers: timers, path: path}
	peers := s.SeedPeers()
	out.current.Store(&peers)
	if info, err := os.Stat(path); err == nil {
		out.stamp, out.size = info.ModTime(), info.Size()
	}
	return out
}

// Peers returns the peer addresses of the seeds.
func (s *Seeds) Peers() []string { return slices.Clone(*s.current.Load()) }

// Run reads the file again when it has changed or a value comes from reload, until
// the context ends. It reports its end on the returned channel.
func (s *Seeds) Run(ctx context.Context, reload <-chan os.Signal) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticks := s.timers.Subscribe(ctx, watchInterval)
		for {
			select {
			case _, ok := <-ticks:
				if !ok {
					done <- nil
					return
				}
				s.look()
			case <-reload:
				s.read("signal")
			}
		}
	}()
	return done
}

func (s *Seeds) look() {
	info, err := os.Stat(s.path)
	if err != nil || info.ModTime().Equal(s.stamp) && info.Size() == s.size {
		return // a file that is being replaced is looked at again
	}
	s.stamp, s.size = info.ModTime(), info.Size()
	s.read("file changed")
}

func (s *Seeds) read(why string) {
	next, err := Load(s.path)
	if err != nil {
		s.log.Error(err, "settings cannot be used; the ones before stay in force", "cause", why)
		return
	}
	peers := next.SeedPeers()
	s.current.Store(&peers)
	s.log.Info("settings read again", "cause", why, "seeds", peers)
}
