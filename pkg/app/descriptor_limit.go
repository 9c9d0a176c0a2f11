package app

import (
	"syscall"

	"quaydock/pkg/common"
	"quaydock/platform"
)

const (
	// defaultDescriptors is assumed if the system's limit cannot be read: the usual soft limit of
	// a Linux process.
	defaultDescriptors = 1024
	// maxDescriptors replaces a limit that the system reports as infinite: the most that Linux gives a
	// process by default.
	maxDescriptors = 1 << 20
)

// descriptorLimit returns how many descriptors the process may have for connections: the lower of the
// system's limit and the one in the VM's settings.
func descriptorLimit(c common.Common, limits platform.VMLimits) int {
	limit := defaultDescriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err != nil {
		c.Log.WithError(err).WithField("assumed", limit).Warn("the limit of descriptors is not known")
	} else {
		limit = int(min(system.Cur, maxDescriptors))
	}
	if configured := limits.Sockets(); configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}
