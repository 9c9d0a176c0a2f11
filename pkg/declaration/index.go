package declaration

import (
	"crypto/sha256"
	"encoding/hex"

	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

const keySumBytes = sha256.Size

// Revision numbers configurations. A process never goes back to a lower one.
type Revision int64

// Index is a checked set of declarations, indexed for look-ups. It is immutable
// and thus safe for concurrent use.
type Index struct {
	Revision Revision
	set      Set
	ranks    map[ids.Tier]ids.TierRank
	accounts map[[keySumBytes]byte]*Account
	services map[ids.Service]*Service
	targets  map[ids.Target]*Target
	serving  map[ids.Service][]*Target
	placed   map[ids.Target][]Placement
}

// NewIndex checks and indexes set. Its error names every fault in the set.
func NewIndex(revision Revision, set Set) (*Index, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Index{
		Revision: revision,
		set:      set,
		ranks:    make(map[ids.Tier]ids.TierRank),
		accounts: make(map[[keySumBytes]byte]*Account),
		services: make(map[ids.Service]*Service),
		targets:  make(map[ids.Target]*Target),
		serving:  make(map[ids.Service][]*Target),
		placed:   make(map[ids.Target][]Placement),
	}
	b.index()
	return b, nil
}

func (b *Index) index() {
	for i, t := range b.set.Tiers {
		b.ranks[t.Name] = ids.TierRank(i)
	}
	for i := range b.set.Accounts {
		b.indexKeys(&b.set.Accounts[i])
	}
	for i := range b.set.Services {
		s := &b.set.Services[i]
		b.services[s.Name] = s
	}
	for i := range b.set.Targets {
		t := &b.set.Targets[i]
		b.targets[t.Name] = t
	}
	for _, p := range b.set.Placements {
		b.serving[p.Service] = append(b.serving[p.Service], b.targets[p.Target])
		b.placed[p.Target] = append(b.placed[p.Target], p)
	}
}

func (b *Index) indexKeys(a *Account) {
	for _, h := range a.KeyHashes {
		sum, _ := hex.DecodeString(h) // checked by Set.Check
		b.accounts[[keySumBytes]byte(sum)] = a
	}
}

// Set returns the declarations. The caller must not change them.
func (b *Index) Set() Set {
	return b.set
}

// Account returns the account that the API key belongs to, or nil.
func (b *Index) Account(key string) *Account {
	return b.accounts[sha256.Sum256([]byte(key))]
}

// Service returns the service called name, or nil.
func (b *Index) Service(name ids.Service) *Service {
	return b.services[name]
}

// Services returns the services in declared order. The caller must not change them.
func (b *Index) Services() []Service {
	return b.set.Services
}

// Target returns the target called name, or nil.
func (b *Index) Target(name ids.Target) *Target {
	return b.targets[name]
}

// Targets returns the targets in declared order. The caller must not change them.
func (b *Index) Targets() []Target {
	return b.set.Targets
}

// Serving returns the targets that service is placed on.
func (b *Index) Serving(service ids.Service) []*Target {
	return b.serving[service]
}

// Placements returns what is placed on target.
func (b *Index) Placements(target ids.Target) []Placement {
	return b.placed[target]
}

// Rank returns the rank of a tier, and whether the tier is known.
func (b *Index) Rank(tier ids.Tier) (ids.TierRank, bool) {
	rank, known := b.ranks[tier]
	return rank, known
}

// Deadline returns the default time for an answer in a tier.
func (b *Index) Deadline(rank ids.TierRank) clock.Millis {
	return b.set.Tiers[rank].DeadlineMS
}

// TierCount returns how many tiers are declared.
func (b *Index) TierCount() int {
	return len(b.set.Tiers)
}
