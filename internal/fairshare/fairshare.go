// Package fairshare counts what the owners of waiting requests have been given, so that each gets its share: by start-time
// fair queueing (Goyal et al., 1996).
package fairshare

// Shares holds the service that owners have received. The zero value is ready for use. It is not safe for concurrent use.
type Shares struct {
	tags    map[string]float64 // virtual time up to which an owner has been served
	virtual float64
}

// Join is called when a request is added for an owner that has none waiting. An owner gains nothing for the time
// during which it had none.
func (s *Shares) Join(owner string) {
	s.set(owner, max(s.tags[owner], s.virtual))
}

func (s *Shares) set(owner string, tag float64) {
	if s.tags == nil {
		s.tags = map[string]float64{}
	}
	s.tags[owner] = tag
}

// Tag returns the virtual time up to which an owner has been served; the owner with the lowest one is next.
func (s *Shares) Tag(owner string) float64 { return s.tags[owner] }

// Charge adds to the service that an owner has received, divided by its weight.
func (s *Shares) Charge(owner string, service float64) {
	s.virtual = max(s.virtual, s.tags[owner])
	s.set(owner, s.tags[owner]+service)
}

// ForgetIdle drops the owners that have received no more than others. It is called while no requests wait.
func (s *Shares) ForgetIdle() {
	for owner, tag := range s.tags {
		if tag <= s.virtual {
			delete(s.tags, owner)
		}
	}
}
