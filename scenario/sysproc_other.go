//go:build !linux

package scenario

import "syscall"

// killWithParent sets nothing: outside Linux, a process outlives a killed test process.
func killWithParent() *syscall.SysProcAttr { return nil }

// waitStopped returns at once: outside Linux, a signaled process may run on for a moment.
func waitStopped(int) error { return nil }
