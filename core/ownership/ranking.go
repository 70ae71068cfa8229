package ownership

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/core/membership"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// candidateSet is a set of candidates as a bit mask; bit i stands for the candidate with index i.
type candidateSet uint64

// score returns the weighted rendezvous score of a VM for a key; the highest score ranks first.
// The weight is 1 plus the fraction of the key's replicas that are in the zone of the VM.
func score(key string, vm model.VM, zone model.AvailabilityZone, replicas []model.AvailabilityZone) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(key) // Digest.WriteString never returns an error
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(string(vm))
	u := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight(zone, replicas) / math.Log(u)
}

func weight(zone model.AvailabilityZone, replicas []model.AvailabilityZone) float64 {
	if len(replicas) == 0 {
		return 1
	}
	n := 0
	for _, z := range replicas {
		if z == zone {
			n++
		}
	}
	return 1 + float64(n)/float64(len(replicas))
}

// ranking is the order in which the candidates are preferred as owners of one key.
type ranking struct {
	order []int        // candidate indexes, best first
	above candidateSet // candidates ranked above this VM
}

// rankCandidates orders the candidates. A VM whose zone is unknown here may have any weight, so it
// is ranked above this VM: of any two VMs, at least one must rank the other above itself, so that
// they never both own the key.
func rankCandidates(t *membership.Tracker, vms []model.VM, self int, key string, replicas []model.AvailabilityZone) ranking {
	scores := make([]float64, len(vms))
	r := ranking{order: make([]int, len(vms))}
	for i, vm := range vms {
		zone, known := t.Zone(vm)
		scores[i] = score(key, vm, zone, replicas)
		if !known {
			scores[i] = math.Inf(1)
		}
		r.order[i] = i
	}
	slices.SortFunc(r.order, func(a, b int) int {
		if scores[a] != scores[b] {
			if scores[a] > scores[b] {
				return -1
			}
			return 1
		}
		return a - b // candidates are sorted by name
	})
	for _, i := range r.order {
		if i == self {
			break
		}
		r.above |= 1 << i
	}
	return r
}
