package declaration_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/inifile"
)

// TestFindings checks that one pass reports all findings of the declarations.
func TestFindings(t *testing.T) {
	data, err := os.ReadFile("testdata/broken.ini")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/broken.findings")
	require.NoError(t, err)
	sections, found := declaration.Parse("broken.ini", data)
	_, findings := declaration.Build(1, sections, nil)
	found.Merge(findings)
	require.ElementsMatch(t, strings.Split(strings.TrimSpace(string(want)), "\n"), strings.Split(found.Err().Error(), "\n"))
}

// TestExamples checks the example declarations: the numbers of failure domains,
// organisations, engines and targets, the reasons of exceptions, and the keys.
func TestExamples(t *testing.T) {
	for name, engines := range map[string]int{"correa": 9, "kupa": 12} {
		t.Run(name, func(t *testing.T) {
			var sections []*inifile.Section
			files, err := filepath.Glob("../../examples/" + name + "/*.ini")
			require.NoError(t, err)
			for _, file := range files {
				data, err := os.ReadFile(file)
				require.NoError(t, err)
				read, found := declaration.Parse(file, data)
				require.NoError(t, found.Err())
				sections = append(sections, read...)
			}
			set, found := declaration.Build(1, sections, nil)
			require.NoError(t, found.Err())
			require.Len(t, set.FailureDomains(), 3)
			require.Len(t, set.Organisations(), 10)
			require.Len(t, set.Engines(set.Models()[0]), engines)
			require.Len(t, set.Targets(), engines+3)
			for _, e := range set.Exceptions() {
				require.NotEmpty(t, e.Reason())
			}
			o, ok := set.OrganisationByKey("demo-key-" + set.Organisations()[0])
			require.True(t, ok)
			require.Equal(t, set.Organisations()[0], o.Name())
		})
	}
}
