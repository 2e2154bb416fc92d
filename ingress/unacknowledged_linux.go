package ingress

import "golang.org/x/sys/unix"

// unacknowledgedBytes returns how many sent bytes of a TCP socket are not acknowledged; 0 if that is not
// known.
func unacknowledgedBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
