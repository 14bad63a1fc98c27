// Package quota divides each team's upper limit over the zones.
//
// The ledger in the store holds an allotment for each team and zone; per
// component they never sum above the limit. Only a zone's own scheduler
// changes the zone's allotments: it lowers what it may use before it writes a
// smaller allotment, and raises it only after a larger one is confirmed. A
// zone that is cut off keeps what it held.
package quota
