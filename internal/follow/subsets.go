package follow

import (
	"github.com/vanillaward/vanillaward/internal/subset"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// Subsets is how an instance keeps loads and uses for a subset of the targets of each large service.
type Subsets interface {
	// UpdateSubsets sets the number of instances from which the size of the subsets follows; 0 for whole
	// services.
	UpdateSubsets(instances int)
	// ChangePeerUses updates those sums of other instances' uses that changed, and the number of instances.
	ChangePeerUses(changed []*wire.Use, instances int)
}

// UseSubsets sets how the instance keeps subsets. It must be called before Run.
func (f *Follower) UseSubsets(s Subsets) { f.subsets = s }

// usesState is what the instance has of the other instances' uses.
type usesState struct {
	address string // of the leader that told
	// instances is the number of instances from which the size of subsets follows.
	instances int
}

// wholeInstances is the number of instances up to which each one keeps the loads of all targets that
// each of its replicas reads.
const wholeInstances = 100

// addVersions states in a request what the instance has from a replica and what it needs. It is called
// with the lock held.
func (f *Follower) addVersions(address string, request *wire.FollowRequest) {
	request.TakesChanges, request.Paced, request.ReplicasHash = true, f.subsets != nil, f.replicasHash
	if l := f.lists[address]; l != nil {
		request.ListEpoch, request.ListVersion, request.LoadsVersion = l.epoch, l.version, l.loadsVersion
	}
	if f.subsets == nil {
		return
	}
	request.SubsetInstances = uint32(f.uses.instances)
	c := f.contactOf(address)
	request.UsesEpoch, request.UsesVersion = c.toldEpoch, c.toldVersion
	if f.uses.instances > wholeInstances && address != f.leader && f.leader != "" && f.followed[f.leader] {
		// The leader has the loads that all replicas read.
		request.WithoutLoads, request.LoadsVersion = true, 0
	}
}

// updateUses passes the uses in a response to the sink. It is called with the lock held.
func (f *Follower) updateUses(address string, resp *wire.FollowResponse) {
	if resp.GetShed() {
		return // what was told before is better than nothing
	}
	c := f.contactOf(address)
	c.toldEpoch, c.toldVersion = resp.GetUsesEpoch(), resp.GetUsesVersion()
	instances := int(resp.GetFollowers())
	if f.subsets != nil && (resp.GetLeader() || f.uses.instances == 0) {
		if size := subset.Round(instances); size != f.uses.instances {
			f.log.Info("size of subsets", "replica", address, "instances", instances, "before", f.uses.instances, "now", size)
			f.uses.instances = size
			f.subsets.UpdateSubsets(size)
		}
	}
	if !resp.GetLeader() {
		return
	}
	switch {
	case !resp.GetUsesChanges():
		f.sink.UpdatePeerUses(resp.GetOthers(), instances)
	case f.subsets != nil && f.uses.address == address:
		f.subsets.ChangePeerUses(resp.GetOthers(), instances)
	default: // another leader has told all uses meanwhile
		c.toldVersion = 0
		return
	}
	f.uses.address = address
}
