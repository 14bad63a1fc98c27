// Package dispatch decides which target runs which task of which workflow.
//
// One Scheduler serves the whole fleet. It does no I/O, reads no clock and takes no lock: a single
// control goroutine passes it the time and every message from targets, store and members, and
// carries out the commands it returns. Time is the time since boot, which advances while the VM is
// suspended.
//
// The files by what they decide:
//
//   - state: job, occurrences, occurrence, steprun, run, target, team, active (core/stepgraph, core/indexset and core/paged hold what is long)
//   - one pass over what waits: scheduler (Run), place, rank, share, phases
//   - which target: choose, nofit, roomindex, cold, speed, lagging, draining, evacuation
//   - making room: room, claim, reservation (core/reserve), preempt, headroom, projection (core/forecast expects the urgent work)
//   - tickets: advice, advicerequests, advicetargets, adviceuse, tickets
//   - starting, following and stopping runs: start, startrepeat, renewal, listing, acknowledgement, ends, stop, remaining, speculative, pace
//   - targets that fall silent, restart or leave: silence, targetend, lateorder, knowntarget, capacityage
//   - tasks that crash their targets: the files with crash in their name, trial, trialtargets
//   - taking over from an earlier epoch: earlierruns, runlist, finallist, successor
//   - what is stored: record, endedjob, finalwaiter
package dispatch
