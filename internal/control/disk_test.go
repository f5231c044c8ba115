package control_test

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/storage"
	"github.com/vanillaward/vanillaward/internal/timer/timertest"
	"github.com/vanillaward/vanillaward/internal/wire"
)

var errDisk = errors.New("input/output error")

// failingDisk is a directory whose syncs fail while fails is set.
type failingDisk struct {
	*storage.Dir

	mu      sync.Mutex // guards the rest
	fails   bool
	written map[string]int64 // bytes by file
}

func (d *failingDisk) setFailing(fails bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fails = fails
}

func (d *failingDisk) Append(name string) (vanillaward.File, error) {
	f, err := d.Dir.Append(name)
	return &failingFile{File: f, disk: d, name: name}, err
}

type failingFile struct {
	vanillaward.File
	disk *failingDisk
	name string
}

func (f *failingFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.written[f.name] += int64(len(data))
	return f.File.Write(data)
}

func (f *failingFile) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.fails {
		return errDisk
	}
	return nil
}

// discardTransport drops all messages. It is for a log of one replica.
type discardTransport struct{}

func (discardTransport) Send(string, *wire.Message) {}

func startNode(ctx context.Context, disk vanillaward.Disk, options ...control.Option) (*control.Node, <-chan error) {
	initialVoters := &wire.Membership{Replicas: []*wire.Replica{{Id: "only", Name: "only", Address: "127.0.0.1:1"}}}
	options = append(options, control.WithInitialVoters(initialVoters))
	node := control.NewNode(logr.Discard(), disk, timertest.New(), discardTransport{}, config.NewStore(), "only", 1, options...)
	return node, node.Run(ctx)
}

// offer offers a document repeatedly until it is committed.
func offer(t *testing.T, node *control.Node, number uint64, body []byte) {
	t.Helper()
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		result, err := node.Offer(ctx, &wire.Document{Number: number, Body: body})
		cancel()
		if err == nil {
			require.Equal(t, number, result.GetNumber())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "the document was not committed after 200 attempts")
}

// TestRecoverAfterDiskFailure checks that a replica whose disk failed resumes, with all
// data that it acknowledged, once the disk works again. It guards against a replica that
// stops permanently at any disk error other than a full disk.
func TestRecoverAfterDiskFailure(t *testing.T) {
	dir, err := storage.NewDir(t.TempDir())
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		disk := &failingDisk{Dir: dir, written: map[string]int64{}}
		ctx, cancel := context.WithCancel(context.Background())
		node, end := startNode(ctx, disk)
		offer(t, node, 1, []byte("one"))
		disk.setFailing(true)
		offerCtx, cancelOffer := context.WithTimeout(ctx, 3*time.Second)
		_, err := node.Offer(offerCtx, &wire.Document{Number: 2, Body: []byte("two")})
		cancelOffer()
		require.Error(t, err)
		disk.setFailing(false)
		offer(t, node, 3, []byte("three"))
		d, err := node.Document(ctx)
		require.NoError(t, err)
		require.Equal(t, "three", string(d.GetBody()))
		cancel()
		require.NoError(t, <-end)
	})
}

// TestSnapshotBytes checks that the log file stays small when documents are large and
// few, because a snapshot is also taken after a number of bytes.
func TestSnapshotBytes(t *testing.T) {
	path := t.TempDir()
	dir, err := storage.NewDir(path)
	require.NoError(t, err)
	const size, bound, documents = 100 << 10, 1 << 20, 60
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		node, end := startNode(ctx, dir, control.WithSnapshotBytes(bound))
		for number := range uint64(documents) {
			offer(t, node, number+1, make([]byte, size))
		}
		cancel()
		require.NoError(t, <-end)
	})
	info, err := fs.Stat(os.DirFS(path), "log")
	require.NoError(t, err)
	require.Less(t, info.Size(), int64(bound+2*size))
}
