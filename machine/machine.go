// Package machine tells what the machine lets this process use.
//
//	memory, descriptors := machine.Limits()
package machine

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// cgroupMemory is the memory limit of the process's control group, where a container has one.
const cgroupMemory = "/sys/fs/cgroup/memory.max"

// Limits returns the memory in bytes and the descriptors that this process may use; zero is unknown.
func Limits() (memory int64, descriptors int) {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	if text, err := os.ReadFile(cgroupMemory); err == nil {
		memory = lower(memory, string(text))
	}
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) == nil {
		descriptors = int(min(files.Cur, 1<<20))
	}
	return memory, descriptors
}

// lower returns the lower of the machine's memory and a control group's limit, which may be "max".
func lower(memory int64, limit string) int64 {
	bytes, err := strconv.ParseInt(strings.TrimSpace(limit), 10, 64)
	if err != nil || bytes <= 0 || memory > 0 && memory < bytes {
		return memory
	}
	return bytes
}
