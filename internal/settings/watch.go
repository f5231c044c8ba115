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

// watchInterval is the interval at which the settings file is checked for changes.
const watchInterval = time.Second

// Seeds holds the seeds of the current settings file. All other settings keep the values
// that they had at the start of the process.
type Seeds struct {
	log     logr.Logger
	timers  vanillaward.Timers
	path    string
	current atomic.Pointer[[]string]
	modTime time.Time
	size    int64
}

// NewSeeds returns the seeds of settings that were loaded from the file at path.
func NewSeeds(log logr.Logger, timers vanillaward.Timers, path string, s *Settings) *Seeds {
	out := &Seeds{log: log, timers: timers, path: path}
	peers := s.SeedPeers()
	out.current.Store(&peers)
	if info, err := os.Stat(path); err == nil {
		out.modTime, out.size = info.ModTime(), info.Size()
	}
	return out
}

// Peers returns the peer addresses of the seeds.
func (s *Seeds) Peers() []string { return slices.Clone(*s.current.Load()) }

// Run reads the file again when it has changed or reload receives a value, until the
// context ends. It then sends nil on the returned channel.
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
				s.reloadIfChanged()
			case <-reload:
				s.load("signal")
			}
		}
	}()
	return done
}

func (s *Seeds) reloadIfChanged() {
	info, err := os.Stat(s.path)
	if err != nil || info.ModTime().Equal(s.modTime) && info.Size() == s.size {
		return // a file that is missing while it is replaced is checked again at the next tick
	}
	s.modTime, s.size = info.ModTime(), info.Size()
	s.load("file changed")
}

func (s *Seeds) load(cause string) {
	next, err := Load(s.path)
	if err != nil {
		s.log.Error(err, "cannot use changed settings; previous settings stay in force", "cause", cause)
		return
	}
	peers := next.SeedPeers()
	s.current.Store(&peers)
	s.log.Info("settings read again", "cause", cause, "seeds", peers)
}
