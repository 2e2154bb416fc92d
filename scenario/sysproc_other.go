//go:build !linux

package scenario

import "syscall"

// killWithParent sets nothing: outside Linux, a process outlives a killed test process.
func killWithParent() *syscall.SysProcAttr { return nil }
