package bench

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cyclamendyke/standin/kv"
)

// clockTicksPerSecond is USER_HZ, in which /proc counts processor time.
const clockTicksPerSecond = 100

// usageSample is the cumulative resource usage of one process at a point in time.
type usageSample struct {
	at     time.Time
	cpu    time.Duration
	bytes  float64 // Read and written, almost all on network connections.
	memory float64 // Resident bytes.
	store  kv.Counts
}

// usageRates is the resource usage of one process per second.
type usageRates struct {
	cpu, bytes, storeReads, storeWrites float64 // Milliseconds, bytes and calls per second.
	memory                              float64 // Resident bytes at the end of the measurement.
}

func (c *cell) sample(daemon *daemonProcess) (usageSample, error) {
	pid := daemon.command.Process.Pid
	cpu, cpuErr := processorTime(pid)
	read, readErr := procField(pid, "io", "rchar:")
	written, writtenErr := procField(pid, "io", "wchar:")
	resident, residentErr := procField(pid, "status", "VmRSS:")
	counts, countsErr := c.storeCounts(daemon)
	return usageSample{
		at:     time.Now(),
		cpu:    cpu,
		bytes:  read + written,
		memory: resident * 1024,
		store:  counts,
	}, errors.Join(cpuErr, readErr, writtenErr, residentErr, countsErr)
}

func (s usageSample) ratesSince(before usageSample) usageRates {
	seconds := s.at.Sub(before.at).Seconds()
	return usageRates{
		cpu:         millis(s.cpu-before.cpu) / seconds,
		bytes:       (s.bytes - before.bytes) / seconds,
		storeReads:  float64(s.store.Reads-before.store.Reads) / seconds,
		storeWrites: float64(s.store.Writes-before.store.Writes) / seconds,
		memory:      s.memory,
	}
}

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}

// procField returns the number after a name in one of a process's /proc files.
func procField(pid int, file, name string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == name {
			return strconv.ParseFloat(fields[1], 64)
		}
	}
	return 0, fmt.Errorf("/proc/%d/%s has no %s", pid, file, name)
}
