package control_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// previousBuild is the commit of the build before orders for failure domains.
const previousBuild = "bc1fe6b"

// previousMain is a program in the source of the previous build. It restores the snapshot that it reads, applies the
// records in the files of its arguments from the index of the first argument on, and writes a snapshot.
const previousMain = `package main

import (
	"io"
	"os"
	"strconv"

	"github.com/vanillaward/vanillaward/internal/control"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	data, err := io.ReadAll(os.Stdin)
	check(err)
	state, err := control.RestoreState(data)
	check(err)
	index, err := strconv.ParseUint(os.Args[1], 10, 64)
	check(err)
	for i, name := range os.Args[2:] {
		record, err := os.ReadFile(name)
		check(err)
		_, err = state.Apply(index+uint64(i), record)
		check(err)
	}
	out, err := state.Snapshot()
	check(err)
	_, err = os.Stdout.Write(out)
	check(err)
}
`

// buildPrevious builds previousMain from the repository's history.
func buildPrevious(t *testing.T) string {
	t.Helper()
	source := t.TempDir()
	archive, err := exec.Command("git", "-C", filepath.Join("..", ".."), "archive", previousBuild).Output()
	require.NoError(t, err, "the repository's history has to hold %s", previousBuild)
	unpack := exec.Command("tar", "-x", "-C", source) //nolint:gosec // a folder of the test
	unpack.Stdin = bytes.NewReader(archive)
	require.NoError(t, unpack.Run())
	folder := filepath.Join(source, "cmd", "previous")
	require.NoError(t, os.Mkdir(folder, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "main.go"), []byte(previousMain), 0o600))
	program := filepath.Join(t.TempDir(), "previous")
	build := exec.Command("go", "build", "-o", program, "./cmd/previous") //nolint:gosec // a file of the test
	build.Dir = source
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// TestOrdersInSnapshotsOfPreviousBuild guards against orders that are lost, or that no longer override each other in the
// order of the log, when builds alternate: each restores the snapshot of the other and applies further records.
func TestOrdersInSnapshotsOfPreviousBuild(t *testing.T) {
	const rounds, recordsPerRound = 12, 15
	program, folder := buildPrevious(t), t.TempDir()
	seed := uint64(7)
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 29))
	whole := control.NewState()
	var snapshot []byte
	index := uint64(1)
	for round := range rounds {
		var records [][]byte
		for range recordsPerRound {
			step := control.NewDomainOrder(fmt.Sprint("zone-", random.IntN(8)), random.IntN(2) == 0, "operator", "why")
			if random.IntN(5) == 0 {
				step = &wire.OrderStep{Target: "target", State: "role serve", Issuer: "replica"}
			}
			data, err := proto.Marshal(&wire.Command{OrderStep: step})
			require.NoError(t, err)
			records = append(records, data)
			applyOrder(t, whole, index+uint64(len(records))-1, step)
		}
		mixed, err := control.RestoreState(snapshot)
		require.NoError(t, err)
		if round%2 == 0 {
			args := []string{fmt.Sprint(index)}
			for i, data := range records {
				name := filepath.Join(folder, fmt.Sprint(i))
				require.NoError(t, os.WriteFile(name, data, 0o600))
				args = append(args, name)
			}
			command := exec.Command(program, args...) //nolint:gosec // the test's own build
			command.Stdin, command.Stderr = bytes.NewReader(snapshot), os.Stderr
			snapshot, err = command.Output()
			require.NoError(t, err)
			mixed, err = control.RestoreState(snapshot)
			require.NoError(t, err)
		} else {
			for i, data := range records {
				_, err := mixed.Apply(index+uint64(i), data)
				require.NoError(t, err)
			}
			snapshot, err = mixed.Snapshot()
			require.NoError(t, err)
		}
		index += recordsPerRound
		require.Equal(t, evacuated(whole), evacuated(mixed), "round %d", round)
		require.GreaterOrEqual(t, mixed.Evacuation().Index(), whole.Evacuation().Index(), "round %d", round)
		require.Less(t, mixed.Evacuation().Index(), index)
		require.Len(t, mixed.TargetOrders(), 1)
	}
}
