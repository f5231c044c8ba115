package declaration

import (
	"os"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Load reads files as one set of declarations. It returns an error if a file cannot be
// read, or one that lists every finding.
func Load(files []string) (*Set, error) {
	var found finding.List
	var sections []*inifile.Section
	for _, name := range files {
		data, err := os.ReadFile(name) //nolint:gosec // the operator chooses the path
		if err != nil {
			return nil, errors.Wrap(err, "declarations")
		}
		parsed, findings := Parse(name, data)
		found.Merge(findings)
		sections = append(sections, parsed...)
	}
	set, findings := Build(1, sections, nil)
	found.Merge(findings)
	return set, found.Err()
}
