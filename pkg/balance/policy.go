package balance

import "github.com/juju/errors"

// Policy is a rule for choosing targets.
type Policy interface{ isPolicy() }

// LateBinding queries several agents and binds to the first that has a free slot.
type LateBinding struct{}

// RoundRobin uses the targets in rotation: a baseline.
type RoundRobin struct{}

// LeastLoad uses the target with the least load by its last report: a
// baseline.
type LeastLoad struct{}

// PowerOfTwo draws two targets and uses the one with less load by its last
// report: a baseline.
type PowerOfTwo struct{}

func (LateBinding) isPolicy() {}
func (RoundRobin) isPolicy()  {}
func (LeastLoad) isPolicy()   {}
func (PowerOfTwo) isPolicy()  {}

// ParsePolicy returns the policy called name. The error for an unknown one is of kind
// errors.NotFound.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "late-binding":
		return LateBinding{}, nil
	case "round-robin":
		return RoundRobin{}, nil
	case "least-load":
		return LeastLoad{}, nil
	case "power-of-two":
		return PowerOfTwo{}, nil
	default:
		return nil, errors.NotFoundf("policy %q", name)
	}
}
