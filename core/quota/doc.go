// Package quota divides each team's upper limit over the zones.
//
// The ledger in the store holds an allotment for each team and zone. In each
// component, a team's allotments never add up to more than its limit. Only a
// zone's own scheduler changes the zone's allotments. It lowers what the zone
// may use before it writes a smaller allotment, and raises it only after the
// write of a larger one is confirmed. A zone that is cut off from the store
// keeps its allotments.
package quota
