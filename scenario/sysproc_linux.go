package scenario

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// killWithParent makes the kernel kill a process when the test process ends before it
// could do so itself, for example because it was killed.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// waitStopped waits until a child process is stopped by a signal in all its threads, or has exited.
// It leaves the exit status for the goroutine that waits for the exit.
func waitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
