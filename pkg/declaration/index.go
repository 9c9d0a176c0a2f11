package declaration

import (
	"crypto/sha256"
	"encoding/hex"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// keySumBytes is the length of the SHA-256 sum of an API key.
const keySumBytes = sha256.Size

// Revision numbers configurations. A process never goes back to a lower one.
type Revision int64

// Index is a checked set of declarations, indexed for look-ups. It is immutable
// and thus safe for concurrent use.
type Index struct {
	Revision Revision
	set      Set
	ranks    map[ids.Tier]ids.TierRank
	accounts map[[keySumBytes]byte]*Account // by the SHA-256 sum of each API key
	services map[ids.Service]*Service
	targets  map[ids.Target]*Target
	serving  map[ids.Service][]*Target  // the targets that each service is placed on
	placed   map[ids.Target][]Placement // the placements on each target, each of another service
}

// NewIndex checks and indexes set. Its error names every fault in the set.
func NewIndex(revision Revision, set Set) (*Index, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	x := &Index{
		Revision: revision,
		set:      set,
		ranks:    make(map[ids.Tier]ids.TierRank),
		accounts: make(map[[keySumBytes]byte]*Account),
		services: make(map[ids.Service]*Service),
		targets:  make(map[ids.Target]*Target),
		serving:  make(map[ids.Service][]*Target),
		placed:   make(map[ids.Target][]Placement),
	}
	x.index()
	return x, nil
}

// index fills the maps from the set, which has passed its checks: names are unique and each name that is referred to
// is declared.
func (x *Index) index() {
	for i, t := range x.set.Tiers {
		x.ranks[t.Name] = ids.TierRank(i)
	}
	for i := range x.set.Accounts {
		x.indexKeys(&x.set.Accounts[i])
	}
	for i := range x.set.Services {
		s := &x.set.Services[i]
		x.services[s.Name] = s
	}
	for i := range x.set.Targets {
		t := &x.set.Targets[i]
		x.targets[t.Name] = t
	}
	for _, p := range x.set.Placements {
		x.serving[p.Service] = append(x.serving[p.Service], x.targets[p.Target])
		x.placed[p.Target] = append(x.placed[p.Target], p)
	}
}

// indexKeys makes an account the one that its API keys belong to.
func (x *Index) indexKeys(a *Account) {
	for _, h := range a.KeyHashes {
		sum, _ := hex.DecodeString(h) // checked by Set.Check
		x.accounts[[keySumBytes]byte(sum)] = a
	}
}

// Set returns the declarations. The caller must not change them.
func (x *Index) Set() Set {
	return x.set
}

// Account returns the account that the API key belongs to, or nil.
func (x *Index) Account(key string) *Account {
	return x.accounts[sha256.Sum256([]byte(key))]
}

// Service returns the service called name, or nil.
func (x *Index) Service(name ids.Service) *Service {
	return x.services[name]
}

// Services returns the services in declared order. The caller must not change them.
func (x *Index) Services() []Service {
	return x.set.Services
}

// Target returns the target called name, or nil.
func (x *Index) Target(name ids.Target) *Target {
	return x.targets[name]
}

// Targets returns the targets in declared order. The caller must not change them.
func (x *Index) Targets() []Target {
	return x.set.Targets
}

// Serving returns the targets that service is placed on, nil if there are none or the service is unknown. The caller
// must not change the list.
func (x *Index) Serving(service ids.Service) []*Target {
	return x.serving[service]
}

// Placements returns what is placed on target, nil if there is nothing or the target is unknown. The caller must not
// change the list.
func (x *Index) Placements(target ids.Target) []Placement {
	return x.placed[target]
}

// Rank returns the rank of a tier, 0 being the highest, and whether the tier is declared.
func (x *Index) Rank(tier ids.Tier) (ids.TierRank, bool) {
	rank, known := x.ranks[tier]
	return rank, known
}

// Deadline returns the time within which an answer in a tier must be complete if the caller sets no
// deadline. It panics unless rank is that of a declared tier.
func (x *Index) Deadline(rank ids.TierRank) clock.Millis {
	return x.set.Tiers[rank].DeadlineMS
}

// TierCount returns how many tiers are declared.
func (x *Index) TierCount() int {
	return len(x.set.Tiers)
}
