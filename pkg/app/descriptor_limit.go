package app

import (
	"syscall"

	"quaydock/pkg/common"
	"quaydock/platform"
)

const (
	// usualDescriptors is assumed where the system doesn't tell its limit: the usual soft limit of
	// a Linux process.
	usualDescriptors = 1024
	// mostDescriptors bounds a limit that the system tells as infinite: the most that Linux gives a
	// process by default.
	mostDescriptors = 1 << 20
)

// descriptorLimit is how many descriptors the process may have for connections: what the
// system and the VM's settings say, whichever is less.
func descriptorLimit(c common.Common, limits platform.VMLimits) int {
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
