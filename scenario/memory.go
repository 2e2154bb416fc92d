package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// checkPeakMemory fails if the process has used more memory than the number of megabytes in args. It checks
// nothing where the system doesn't report the peak.
func (p *process) checkPeakMemory(args []string) error {
	if len(args) != 1 {
		return scriptErrorf("usage: proc memory NAME MEGABYTES")
	}
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return scriptErrorf("proc memory: %v", err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmHWM:" {
			continue
		}
		kilobytes, err := strconv.Atoi(fields[1])
		if err != nil {
			return scriptErrorf("proc memory: %v", err)
		}
		if used := kilobytes >> 10; used > limit {
			return scriptErrorf("process %s has used %d MB, more than %d", p.name, used, limit)
		}
	}
	return nil
}
