// Package config stores an instance's version of the configuration, keeps it up
// to date from the control replicas or from peers of the failure domain, and
// serves it to other instances.
package config

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// maxDeltas is the largest number of versions that a follower can lag behind and
// still receive deltas instead of the full configuration.
const maxDeltas = 512

// ErrRevert is returned for a version that is not higher than the one held.
var ErrRevert = errors.New("version is not higher than the one held")

// ErrGap is returned for a delta that does not follow the version held.
var ErrGap = errors.New("delta does not follow the version held")

// Store is one instance's copy of the configuration. Its version only rises. It
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex // guards the fields below; no other lock is acquired while it is held
	version uint64
	texts   map[string]string
	parsed  map[string]*inifile.Section
	deltas  []*wire.Delta
	set     *declaration.Set
	changed chan struct{} // closed when the next version is installed
}

// NewStore returns a store without any configuration.
func NewStore() *Store {
	return &Store{
		texts: map[string]string{}, parsed: map[string]*inifile.Section{},
		changed: make(chan struct{}),
	}
}

// Current returns the declarations in force in this store, or nil if there are none.
func (s *Store) Current() *declaration.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Version returns the version held, 0 for none.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Changed returns a channel that is closed when the next version is installed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Advance puts the next version in force. It returns ErrRevert for a version that is not
// higher than the one held, ErrGap for one that does not follow it, and an error if the
// declarations have findings.
func (s *Store) Advance(d *wire.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.GetVersion() <= s.version {
		return ErrRevert
	}
	if d.GetVersion() != s.version+1 {
		return ErrGap
	}
	texts := maps.Clone(s.texts)
	ApplyEdits(texts, d.GetEdits())
	if err := s.install(d.GetVersion(), texts); err != nil {
		return err
	}
	s.deltas = append(s.deltas, d)
	if len(s.deltas) > maxDeltas {
		s.deltas = slices.Delete(s.deltas, 0, len(s.deltas)-maxDeltas)
	}
	return nil
}

// Reset puts a full version in force. It returns ErrRevert if the version is not higher
// than the one held, and an error if the declarations have findings.
func (s *Store) Reset(version uint64, sections []*wire.SectionEdit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return ErrRevert
	}
	texts := map[string]string{}
	ApplyEdits(texts, sections)
	if err := s.install(version, texts); err != nil {
		return err
	}
	s.deltas = nil
	return nil
}

// Check returns the findings that the edits would cause in the next version. It does
// not put that version in force.
func (s *Store) Check(edits []*wire.SectionEdit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	texts := maps.Clone(s.texts)
	ApplyEdits(texts, edits)
	_, sections, err := s.parse(texts)
	if err != nil {
		return err
	}
	next, found := declaration.Build(s.version+1, sections, s.set)
	if found.Empty() {
		found.Merge(next.CheckAgainst(s.set))
	}
	return found.Err()
}

// install builds the declarations of the texts and publishes them. Unchanged
// sections are not parsed again.
func (s *Store) install(version uint64, texts map[string]string) error {
	parsed, sections, err := s.parse(texts)
	if err != nil {
		return err
	}
	set, found := declaration.Build(version, sections, s.set)
	if err := found.Err(); err != nil {
		return errors.Wrapf(err, "configuration version %d", version)
	}
	s.version, s.texts, s.parsed, s.set = version, texts, parsed, set
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Store) parse(texts map[string]string) (map[string]*inifile.Section, []*inifile.Section, error) {
	parsed := make(map[string]*inifile.Section, len(texts))
	sections := make([]*inifile.Section, 0, len(texts))
	for _, id := range slices.Sorted(maps.Keys(texts)) {
		section := s.parsed[id]
		if section == nil || s.texts[id] != texts[id] {
			read, found := declaration.Parse(id, []byte(texts[id]))
			if err := found.Err(); err != nil {
				return nil, nil, err
			}
			if len(read) != 1 || read[0].ID() != id {
				return nil, nil, errors.Errorf("section %q holds other sections", id)
			}
			section = read[0]
		}
		parsed[id] = section
		sections = append(sections, section)
	}
	return parsed, sections, nil
}

// HandleWatch returns the response to a watch request.
func (s *Store) HandleWatch(ctx context.Context, r *wire.WatchRequest) *wire.WatchResponse {
	if r.GetVersionOnly() {
		return &wire.WatchResponse{Version: s.Version()}
	}
	return s.Watch(ctx, r.GetVersion(), min(MaxWait, time.Duration(r.GetWaitMs())*time.Millisecond))
}

// Watch returns the changes between a follower's version and the one held. It waits at
// most the given time for a version higher than the follower's.
func (s *Store) Watch(ctx context.Context, version uint64, wait time.Duration) *wire.WatchResponse {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed, held := s.changed, s.version
		if held > version {
			resp := s.changesSince(version)
			s.mu.Unlock()
			return resp
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return &wire.WatchResponse{Version: held}
		case <-ctx.Done():
			return &wire.WatchResponse{Version: held}
		}
	}
}

// changesSince returns the deltas after the given version, or all sections if these deltas
// are no longer held. It is called with the lock held.
func (s *Store) changesSince(version uint64) *wire.WatchResponse {
	out := &wire.WatchResponse{Version: s.version}
	missing := s.version - version
	if version > 0 && missing <= uint64(len(s.deltas)) {
		out.Deltas = slices.Clone(s.deltas[uint64(len(s.deltas))-missing:])
		return out
	}
	out.Full = true
	out.Sections = SectionsFromTexts(s.texts)
	return out
}

// ApplyEdits applies edits to the texts of sections. An edit with an empty text removes
// the section.
func ApplyEdits(texts map[string]string, edits []*wire.SectionEdit) {
	for _, e := range edits {
		if e.GetText() == "" {
			delete(texts, e.GetId())
			continue
		}
		texts[e.GetId()] = e.GetText()
	}
}

// SectionsFromTexts lists the texts of sections, ordered by section ID.
func SectionsFromTexts(texts map[string]string) []*wire.SectionEdit {
	out := make([]*wire.SectionEdit, 0, len(texts))
	for _, id := range slices.Sorted(maps.Keys(texts)) {
		out = append(out, &wire.SectionEdit{Id: id, Text: texts[id]})
	}
	return out
}

// DiffSections lists the edits that turn one set of texts into another.
func DiffSections(from, to map[string]string) []*wire.SectionEdit {
	var out []*wire.SectionEdit
	for _, id := range slices.Sorted(maps.Keys(to)) {
		if from[id] != to[id] {
			out = append(out, &wire.SectionEdit{Id: id, Text: to[id]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[id]; !ok {
			out = append(out, &wire.SectionEdit{Id: id})
		}
	}
	return out
}
