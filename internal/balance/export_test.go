package balance

// Target returns the first listed target with an identity, or nil.
func (b *Balancer) Target(id string) *Target {
	if listed := b.byID[id]; len(listed) > 0 {
		return listed[0]
	}
	return nil
}
