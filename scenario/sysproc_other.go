//go:build !linux

package scenario

import "syscall"

func endWithParent() *syscall.SysProcAttr { return nil }
