package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTicks is the number of ticks per second, the unit of processor times in /proc on Linux.
const clockTicks = 100

// Usage holds the resources that a process has used since its start.
type Usage struct {
	// CPU is the processor time, user and system.
	CPU time.Duration
	// ResidentBytes is the resident memory in bytes.
	ResidentBytes int64
	// PeakResidentBytes is the largest resident memory so far, in bytes.
	PeakResidentBytes int64
	// WrittenBytes is the number of bytes passed to write and send calls, to files and sockets together.
	WrittenBytes int64
	At           time.Time
}

// Rate holds the use of resources by a process per second between two moments.
type Rate struct {
	// CPUCores is the average number of cores in use.
	CPUCores float64
	// BytesPerSecond counts bytes passed to write and send calls.
	BytesPerSecond float64
	ResidentBytes  int64
}

// RatesSince returns the rates between an earlier usage and u.
func (u Usage) RatesSince(earlier Usage) Rate {
	seconds := u.At.Sub(earlier.At).Seconds()
	return Rate{
		CPUCores:       (u.CPU - earlier.CPU).Seconds() / seconds,
		BytesPerSecond: float64(u.WrittenBytes-earlier.WrittenBytes) / seconds,
		ResidentBytes:  u.ResidentBytes,
	}
}

// Usage reads the usage of the process from /proc.
func (p *Process) Usage(t testing.TB) Usage {
	t.Helper()
	folder := fmt.Sprintf("/proc/%d/", p.ID())
	stat := readFile(t, folder+"stat")
	// utime and stime are fields 14 and 15 of stat. The indices count from the field after the process name, because the
	// name is in parentheses and may contain blanks.
	const userField, systemField = 11, 12
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	ticks := parseInt(t, fields[userField]) + parseInt(t, fields[systemField])
	status := readFile(t, folder+"status")
	return Usage{
		CPU:               time.Duration(ticks) * time.Second / clockTicks,
		ResidentBytes:     parseInt(t, firstFieldAfter(t, status, "VmRSS:")) << 10,
		PeakResidentBytes: parseInt(t, firstFieldAfter(t, status, "VmHWM:")) << 10,
		WrittenBytes:      parseInt(t, firstFieldAfter(t, readFile(t, folder+"io"), "wchar:")),
		At:                time.Now(),
	}
}

// Descriptors returns the number of descriptors that the process has open.
func (p *Process) Descriptors(t testing.TB) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.ID()))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

func readFile(t testing.TB, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func firstFieldAfter(t testing.TB, text, name string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, name)
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		t.Fatalf("no field %s", name)
	}
	return fields[0]
}

func parseInt(t testing.TB, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
