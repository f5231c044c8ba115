package declaration

import (
	"encoding/hex"
	"maps"
	"slices"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/pkg/finding"
)

// builder collects the values of a new set and the findings.
type builder struct {
	set        *Set
	previous   *Set
	found      finding.List
	defaults   map[string]*inifile.Section
	exceptions map[string][]*Exception
}

// indexSections indexes the sections by ID, registers the defaults and decodes the
// exceptions, because both change the values of other sections.
func (b *builder) indexSections(sections []*inifile.Section) {
	b.exceptions = map[string][]*Exception{}
	for _, s := range sections {
		if first, dup := b.set.sections[s.ID()]; dup {
			if first.File() != s.File() { // within a file, the parser has reported the duplicate
				b.found.Add(s.File(), s.Line(), "", "section [%s] stands already in %s", s.ID(), first.File())
			}
			continue
		}
		b.set.sections[s.ID()] = s
		switch s.Kind() {
		case kindDefaults:
			if !slices.Contains([]string{kindTarget, kindClass, kindOrganisation}, s.Name()) {
				b.found.Add(s.File(), s.Line(), "", "defaults are for target, class or organisation, not %q", s.Name())
			}
			b.defaults[s.Name()] = s
		case kindException:
			e := &Exception{name: s.Name()}
			b.found.Merge(inifile.Decode(s, &e.spec))
			b.set.exceptions[s.Name()] = e
			b.exceptions[e.spec.Section] = append(b.exceptions[e.spec.Section], e)
		}
	}
}

func (b *builder) decodeAll(sections []*inifile.Section) {
	if b.set.sections[kindFleet] == nil {
		b.found.Merge(inifile.Decode(inifile.NewSection("", kindFleet, "", 0), &b.set.fleet.spec))
	}
	for _, s := range sections {
		if s.Name() == "" && s.Kind() != kindFleet {
			b.found.Add(s.File(), s.Line(), "", "section [%s] needs a name", s.ID())
			continue
		}
		if violatesKebabCase(s.Name()) {
			b.found.Add(s.File(), s.Line(), "", "name %q is not in kebab case", s.Name())
		}
		b.decodeSection(s)
	}
	for _, name := range slices.Sorted(maps.Keys(b.set.targets)) {
		t := b.set.targets[name]
		if t.Engine() && t.Serves() {
			b.set.engines[t.Model()] = append(b.set.engines[t.Model()], t)
		}
	}
}

func (b *builder) decodeSection(s *inifile.Section) {
	switch s.Kind() {
	case kindDefaults, kindException:
	case kindFleet:
		b.found.Merge(inifile.Decode(s, &b.set.fleet.spec))
	case kindDomain:
		d := decode(b, s, func(d *FailureDomain) any { d.name = s.Name(); return &d.spec })
		b.set.domains[s.Name()] = d
	case kindTarget:
		t := decode(b, s, func(t *Target) any { t.name = s.Name(); return &t.spec })
		b.set.targets[s.Name()] = t
	case kindService:
		v := decode(b, s, func(v *Service) any { v.name = s.Name(); return &v.spec })
		b.set.services[s.Name()] = v
	case kindClass:
		c := decode(b, s, func(c *Class) any { c.name = s.Name(); return &c.spec })
		b.set.classes[s.Name()] = c
	case kindOrganisation:
		o := decode(b, s, func(o *Organisation) any { o.name = s.Name(); return &o.spec })
		b.set.organisations[s.Name()] = o
	default:
		b.found.Add(s.File(), s.Line(), "", "unknown kind of section [%s]", s.ID())
	}
}

// decode returns the value of a section. It reuses the previous version's value if the
// effective section is the same.
func decode[T any](b *builder, s *inifile.Section, spec func(*T) any) *T {
	effective := b.effective(s)
	source := effective.Text()
	if b.previous != nil {
		if old, ok := b.previous.decoded[s.ID()]; ok && old.source == source {
			b.set.decoded[s.ID()] = old
			if value, ok := old.value.(*T); ok {
				return value
			}
		}
	}
	value := new(T)
	b.found.Merge(inifile.Decode(effective, spec(value)))
	b.set.decoded[s.ID()] = decoded{source: source, value: value}
	return value
}

// checkReferences reports references to names that are not declared and values that
// contradict each other.
func (b *builder) checkReferences() {
	for _, id := range slices.Sorted(maps.Keys(b.set.sections)) {
		s := b.set.sections[id]
		switch s.Kind() {
		case kindTarget:
			b.checkTarget(s, b.set.targets[s.Name()])
		case kindService:
			b.checkService(s, b.set.services[s.Name()])
		case kindOrganisation:
			b.checkOrganisation(s, b.set.organisations[s.Name()])
		case kindException:
			if _, ok := b.set.sections[b.set.exceptions[s.Name()].spec.Section]; !ok {
				b.addFinding(s, "section", "there is no section [%s]", b.set.exceptions[s.Name()].spec.Section)
			}
		}
	}
}

func (b *builder) checkTarget(s *inifile.Section, t *Target) {
	if t == nil {
		return
	}
	if _, ok := b.set.domains[t.FailureDomain()]; !ok && t.FailureDomain() != "" {
		b.addFinding(s, "failure-domain", "there is no failure domain %q", t.FailureDomain())
	}
	if t.Engine() && t.Model() == "" {
		b.addFinding(s, "model", "an engine needs a model")
	}
}

func (b *builder) checkService(s *inifile.Section, v *Service) {
	if v == nil {
		return
	}
	if _, ok := b.set.classes[v.DefaultClass()]; !ok && v.DefaultClass() != "" {
		b.addFinding(s, "default-class", "there is no class %q", v.DefaultClass())
	}
	for _, name := range v.Targets() {
		if t, ok := b.set.targets[name]; !ok || t.Engine() {
			b.addFinding(s, "targets", "there is no plain target %q", name)
		}
	}
	if !v.Generation() {
		return
	}
	if v.Model() == "" {
		b.addFinding(s, "model", "a generation service needs a model")
		return
	}
	if first, dup := b.set.byModel[v.Model()]; dup {
		b.addFinding(s, "model", "model %q belongs to service %q already", v.Model(), first.Name())
	}
	b.set.byModel[v.Model()] = v
}

func (b *builder) checkOrganisation(s *inifile.Section, o *Organisation) {
	if o == nil {
		return
	}
	for _, hash := range o.spec.KeyHashes {
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
			b.addFinding(s, "key-hashes", "%q is not a SHA-256 hash in hexadecimal", hash)
			continue
		}
		if first, dup := b.set.byKeyHash[hash]; dup {
			b.addFinding(s, "key-hashes", "the key belongs to organisation %q already", first.Name())
		}
		b.set.byKeyHash[hash] = o
	}
}

func (b *builder) addFinding(s *inifile.Section, key, format string, args ...any) {
	addFindingAt(&b.found, s, key, format, args...)
}

func addFindingAt(found *finding.List, s *inifile.Section, key, format string, args ...any) {
	line := s.Line()
	if k, ok := s.Lookup(key); ok {
		line = k.Line()
	}
	found.Add(s.File(), line, key, format, args...)
}

// CheckAgainst returns the findings that forbid this version to follow the previous one.
// previous may be nil. A new set of keepers must not start without the records of the
// previous set.
func (s *Set) CheckAgainst(previous *Set) finding.List {
	var found finding.List
	if previous == nil {
		return found
	}
	for name, d := range s.domains {
		old, ok := previous.domains[name]
		if !ok {
			continue
		}
		section := s.sections[kindDomain+" "+name]
		changed := !slices.Equal(old.Keepers(), d.Keepers())
		switch {
		case !changed && d.KeeperEpoch() != old.KeeperEpoch():
			addFindingAt(&found, section, "keeper-epoch", "is %d in force and stays so while the keepers are the same", old.KeeperEpoch())
		case changed && d.KeeperEpoch() != old.KeeperEpoch()+1:
			addFindingAt(&found, section, "keeper-epoch", "must be %d with other keepers", old.KeeperEpoch()+1)
		case changed && !slices.Equal(old.Keepers(), d.PreviousKeepers()):
			addFindingAt(&found, section, "previous-keepers", "must list the keepers in force")
		}
	}
	return found
}
