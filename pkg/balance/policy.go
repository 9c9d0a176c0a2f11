package balance

import "github.com/juju/errors"

// Policy is how targets are chosen.
type Policy interface{ isPolicy() }

// LateBinding asks several agents and binds to the first that has room.
type LateBinding struct{}

// RoundRobin takes the targets in turn: a baseline.
type RoundRobin struct{}

// LeastLoad takes the target with the least load by its last report: a
// baseline.
type LeastLoad struct{}

// PowerOfTwo draws two targets and takes the one with less load by its last
// report: a baseline.
type PowerOfTwo struct{}

func (LateBinding) isPolicy() {}
func (RoundRobin) isPolicy()  {}
func (LeastLoad) isPolicy()   {}
func (PowerOfTwo) isPolicy()  {}

// ParsePolicy returns the policy called name. The error is of kind
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
