package configurer

import (
	"os"
	"runtime/debug"
)

// memoryShare is the part of the memory of a process close to which the garbage collector runs more often: the rest is for what it
// doesn't count, and for garbage of bursts.
const memoryShare = 0.7

// MemoryShare returns the memory limit, in bytes, for the garbage collector of a process that may use so many bytes.
func MemoryShare(bytes int) int64 { return int64(memoryShare * float64(bytes)) }

// LimitMemory sets the memory limit of the garbage collector, in bytes, unless GOMEMLIMIT does.
func LimitMemory(limit int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
}

// SetCollector sets how much the heap may grow before it is collected, in percent of what is in use, unless GOGC does.
func SetCollector(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
