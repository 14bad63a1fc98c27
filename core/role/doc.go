// Package role decides whether a process is its zone's scheduler.
//
// A term begins with a record in the store. The record names the term's
// roster, a list of workers. The holder of the term has authority while a
// majority of the roster has granted it a session and, besides, either the
// store's lease is valid or those sessions are in mode held. A term is
// established once it has had authority. Until then it also needs a majority
// of the roster of each earlier term, back to the last established one.
//
// While the store is unreachable, a standby may begin a term as a candidate.
// It must use the roster of the last recorded term, and a term number from the
// block of numbers that follows that term. Any two holders therefore compete
// for a majority of the same workers.
package role
