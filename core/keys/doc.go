// Package keys grants, withdraws and checks the keys of teams, and rules on
// how fresh a process's view of them must be.
package keys
