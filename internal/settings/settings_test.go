package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/settings"
)

// TestFindings checks that one pass reports all findings on a file, each with its line and
// key.
func TestFindings(t *testing.T) {
	data, err := os.ReadFile("testdata/broken.ini")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/broken.findings")
	require.NoError(t, err)
	_, found := settings.Parse("broken.ini", data)
	require.ElementsMatch(t, strings.Split(strings.TrimSpace(string(want)), "\n"), strings.Split(found.Err().Error(), "\n"))
}

// TestExamples checks that the example settings have no findings.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/instances/*.ini")
	require.NoError(t, err)
	require.Len(t, files, 9+8)
	for _, name := range files {
		s, err := settings.Load(name)
		require.NoError(t, err)
		require.True(t, s.Has(settings.RoleEntry))
	}
}
