package scenario

import "syscall"

// killWithParent makes the kernel kill a process when the test process ends before it
// could do so itself, for example because it was killed.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
