// Package advice plans the time in which members call the advice service.
//
// The service answers one call at a time for each member, and a call takes longer the more targets it
// names, so that in a busy fleet the members' time is as scarce as room on targets. This package decides
// which member makes a call, which waiting steps come first, and how many targets a call names. It does no
// I/O, reads no clock and takes no lock.
package advice
