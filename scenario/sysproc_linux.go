package scenario

import "syscall"

// endWithParent makes the kernel kill a process when the test process ends
// without a chance to do so itself.
func endWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
