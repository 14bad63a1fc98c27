// Package role decides whether a process is its zone's scheduler.
//
// A term begins with a record in the store, which names the roster: the
// workers whose majority of sessions the holder needs. A holder acts while it
// has that majority and either the store's lease or sessions in mode held. A
// new term also needs a majority of the roster of every earlier term that was
// not followed by an established one. Without the store a standby may only
// begin a term inside the block of the last recorded one, with its roster, so
// any two holders compete for the same majority.
package role
