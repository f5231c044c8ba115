package declaration

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Set is one version of the declarations. It is immutable and internally consistent.
type Set struct {
	version       uint64
	sections      map[string]*inifile.Section
	decoded       map[string]decoded
	fleet         Fleet
	domains       map[string]*FailureDomain
	targets       map[string]*Target
	services      map[string]*Service
	classes       map[string]*Class
	organisations map[string]*Organisation
	exceptions    map[string]*Exception
	byKeyHash     map[string]*Organisation
	byModel       map[string]*Service
	engines       map[string][]*Target
}

// decoded is the value of a section and the text of the effective section that it was
// decoded from. Later versions that leave the section unchanged reuse the value.
type decoded struct {
	source string
	value  any
}

// Parse parses the contents of a file of declarations. The file name identifies the file
// in findings.
func Parse(file string, data []byte) ([]*inifile.Section, finding.List) {
	return inifile.Parse(file, data)
}

// Build returns a set made of the sections. It reuses values that previous has already
// decoded; previous may be nil. The set is usable only if there are no findings.
func Build(version uint64, sections []*inifile.Section, previous *Set) (*Set, finding.List) {
	b := &builder{previous: previous, defaults: map[string]*inifile.Section{}}
	b.set = &Set{
		version: version, sections: map[string]*inifile.Section{}, decoded: map[string]decoded{},
		domains: map[string]*FailureDomain{}, targets: map[string]*Target{}, services: map[string]*Service{},
		classes: map[string]*Class{}, organisations: map[string]*Organisation{}, exceptions: map[string]*Exception{},
		byKeyHash: map[string]*Organisation{}, byModel: map[string]*Service{}, engines: map[string][]*Target{},
	}
	b.indexSections(sections)
	b.decodeAll(sections)
	b.checkReferences()
	return b.set, b.found
}

// Version returns the version of the configuration.
func (s *Set) Version() uint64 { return s.version }

// Fleet returns the limits of the deployment.
func (s *Set) Fleet() Fleet { return s.fleet }

// FailureDomain returns a failure domain by name.
func (s *Set) FailureDomain(name string) (*FailureDomain, bool) {
	d, ok := s.domains[name]
	return d, ok
}

// FailureDomains returns the names of all failure domains in order.
func (s *Set) FailureDomains() []string { return slices.Sorted(maps.Keys(s.domains)) }

// Target returns a target by name.
func (s *Set) Target(name string) (*Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Targets returns all targets ordered by name.
func (s *Set) Targets() []*Target {
	out := make([]*Target, 0, len(s.targets))
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		out = append(out, s.targets[name])
	}
	return out
}

// Engines returns the engines that are to serve a model, ordered by name.
func (s *Set) Engines(model string) []*Target { return s.engines[model] }

// Service returns a service by name.
func (s *Set) Service(name string) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services ordered by name.
func (s *Set) Services() []*Service {
	out := make([]*Service, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		out = append(out, s.services[name])
	}
	return out
}

// ServiceOfModel returns the generation service of a model.
func (s *Set) ServiceOfModel(model string) (*Service, bool) {
	v, ok := s.byModel[model]
	return v, ok
}

// Models returns the names of the models with a service, in order.
func (s *Set) Models() []string { return slices.Sorted(maps.Keys(s.byModel)) }

// Class returns a class by name.
func (s *Set) Class(name string) (*Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Organisations returns the names of all organisations in order.
func (s *Set) Organisations() []string { return slices.Sorted(maps.Keys(s.organisations)) }

// Organisation returns an organisation by name.
func (s *Set) Organisation(name string) (*Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// OrganisationByKey returns the organisation that holds a key.
func (s *Set) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := s.byKeyHash[HashKey(key)]
	return o, ok
}

// Exceptions returns all exceptions ordered by name.
func (s *Set) Exceptions() []*Exception {
	out := make([]*Exception, 0, len(s.exceptions))
	for _, name := range slices.Sorted(maps.Keys(s.exceptions)) {
		out = append(out, s.exceptions[name])
	}
	return out
}

// Texts returns the normalised text of each section by section ID.
func (s *Set) Texts() map[string]string {
	out := make(map[string]string, len(s.sections))
	for id, section := range s.sections {
		out[id] = section.Text()
	}
	return out
}

// HashKey returns the SHA-256 hash of an organisation's key in hexadecimal, which is the
// form used in declarations.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// effective returns a section with defaults and exceptions applied.
func (b *builder) effective(s *inifile.Section) *inifile.Section {
	out := s
	if defaults := b.defaults[s.Kind()]; defaults != nil {
		for _, k := range defaults.Keys() {
			if own, ok := s.Lookup(k.Name()); ok {
				b.found.Add(s.File(), own.Line(), k.Name(), "set for all by [%s]; declare an exception with a reason instead", defaults.ID())
				continue
			}
			out = out.With(k.Name(), k.Value(), s.Line())
		}
	}
	for _, e := range b.exceptions[s.ID()] {
		out = out.With(e.spec.Key, e.spec.Value, s.Line())
	}
	return out
}

func violatesKebabCase(name string) bool {
	return strings.ToLower(name) != name || strings.Contains(name, "_")
}
