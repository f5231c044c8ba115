package route

// rankRange is the most and the least urgent rank of some routes.
type rankRange struct{ first, last int }

// generationRanks returns the ranks of the routes that send generations to each service.
func generationRanks(routes []Spec) map[string]rankRange {
	out := map[string]rankRange{}
	for _, r := range routes {
		if !r.Generation {
			continue
		}
		for _, share := range r.Shares {
			if share.Weight <= 0 {
				continue
			}
			ranks, known := out[share.Service]
			if !known {
				ranks = rankRange{first: r.Rank, last: r.Rank}
			}
			out[share.Service] = rankRange{first: min(ranks.first, r.Rank), last: max(ranks.last, r.Rank)}
		}
	}
	return out
}

// Queues reports whether the generations of a service wait at the gateway until an engine has capacity for them:
// where their order matters, because the ranks of the routes differ or several organisations have keys. Otherwise
// engines hold the requests that wait.
func (t *Table) Queues(service string) bool {
	ranks, generations := t.ranks[service]
	return generations && (ranks.first != ranks.last || t.severalOrganisations())
}

// QueueRank returns the position of a route's generations in the queue of a service: by the rank of their organisation,
// then by that of the route. Lower ones go first.
func (t *Table) QueueRank(service string, organisation int, r *Route) int {
	ranks := t.ranks[service]
	return organisation*(ranks.last-ranks.first+1) + r.Rank() - ranks.first
}

// Urgent reports whether the generations of a route go before those of another route of a service.
func (t *Table) Urgent(service string, r *Route) bool {
	ranks := t.ranks[service]
	return r.Rank() == ranks.first && ranks.first != ranks.last
}

func (t *Table) severalOrganisations() bool {
	var first *Organisation
	for _, o := range t.organisations {
		if first != nil && o != first {
			return true
		}
		first = o
	}
	return false
}
