package follow

import "github.com/vanillaward/vanillaward/internal/wire"

// exchange is what this instance and a replica have told each other about parts of prompts that
// may crash engines.
type exchange struct {
	told    uint64 // number of the evidence that the replica has from this instance
	epoch   uint64 // of the replica's process and its evidence, as this instance has it
	version uint64
}

// addEvidence adds this instance's evidence to a request if the replica lacks it, and states what
// the instance has from the replica. It returns the number of the evidence that the replica will
// have after the request.
func (f *Follower) addEvidence(address string, request *wire.FollowRequest) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	ex := f.exchanges[address]
	if ex == nil {
		ex = &exchange{}
		f.exchanges[address] = ex
	}
	request.EvidenceEpoch, request.EvidenceVersion = ex.epoch, ex.version
	var number uint64
	request.Evidence, number = f.sink.Evidence(ex.told)
	return number
}

// handleEvidence records which evidence the replica has, and passes its own on to the sink. A
// replica that has started anew knows nothing of what it was told before.
func (f *Follower) handleEvidence(address string, told uint64, resp *wire.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ex := f.exchanges[address]
	if ex == nil {
		return // the replica was removed meanwhile
	}
	if ex.epoch != 0 && ex.epoch != resp.GetEvidenceEpoch() {
		told = 0
	}
	ex.told, ex.epoch, ex.version = told, resp.GetEvidenceEpoch(), resp.GetEvidenceVersion()
	if e := resp.GetEvidence(); e != nil {
		f.sink.MergeEvidence(e)
	}
}
