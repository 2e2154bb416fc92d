package tlslink

import (
	"errors"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer of a TCP socket has closed or reset the connection. It reads nothing. If the
// system refuses the call, as a filter of system calls may, the connection counts as open.
func closedByPeer(fd uintptr) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case n > 0:
		return endsAfterUnread(fd)
	case err == nil:
		return true
	}
	return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR) && !errors.Is(err, unix.EPERM) && !errors.Is(err, unix.ENOSYS)
}

// endsAfterUnread is closedByPeer for a socket with unread bytes, such as a session ticket of TLS that came after the
// handshake.
func endsAfterUnread(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
