package dispatch

// shares counts what organisations have been given, in tokens, by start-time fair queueing (Goyal et al., 1996).
type shares struct {
	tags    map[string]float64 // virtual time up to which an organisation has been served
	virtual float64
}

// join is called when a request of an organisation is added. One without other waiting requests gains nothing for
// the time during which it had none.
func (s *shares) join(organisation string, waiting bool) {
	if !waiting {
		s.tags[organisation] = max(s.tags[organisation], s.virtual)
	}
}

// charge records that a request of an organisation is sent.
func (s *shares) charge(organisation string, tokens float64) {
	s.virtual = max(s.virtual, s.tags[organisation])
	s.tags[organisation] += tokens
}

// forgetIdle drops the organisations that have nothing waiting and owe nothing.
func (s *shares) forgetIdle(entries []*Entry) {
	if len(entries) == 0 {
		for name, tag := range s.tags {
			if tag <= s.virtual {
				delete(s.tags, name)
			}
		}
	}
}
