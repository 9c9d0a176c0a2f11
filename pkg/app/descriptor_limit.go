package app

import (
	"syscall"

	"quaydock/pkg/common"
	"quaydock/platform"
)

// usualDescriptors is what is taken for the limit where the system doesn't tell it.
const usualDescriptors = 1024

// descriptorLimit is how many descriptors the process may have for connections: what the
// system and the VM's settings say, whichever is less.
func descriptorLimit(c common.Common, limits platform.MachineLimits) int {
	limit := usualDescriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		c.Log.WithError(err).WithField("assumed", limit).Warn("the limit of descriptors is not known")
	} else {
		limit = int(min(system.Cur, mostDescriptors))
	}
	if told := limits.Sockets(); told > 0 {
		limit = min(limit, told)
	}
	return limit
}

// mostDescriptors stands for no limit.
const mostDescriptors = 1 << 20
