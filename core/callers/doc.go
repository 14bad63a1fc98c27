// Package callers bounds what callers can make a process hold: connections, heads, bodies, what decoding makes of them, and
// responses that nobody reads.
//
// One Budget covers all of them. Each connection is charged for what it holds, from its acceptance to its end. When room is
// short, those connections go first whose unfinished requests hold the most for the longest time; a request that is
// complete is never given up, but one that needs more than there is room for is refused. What is sent on a connection, and when it is
// closed, is up to io/callerconn.
package callers
