// Package keys grants, withdraws and checks the API keys of teams, and decides whether
// a process's view of the keys is recent enough to use.
package keys
