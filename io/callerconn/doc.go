// Package callerconn accepts callers' connections within a budget of core/callers.
//
// A Guard wraps the listeners and the handlers of HTTP servers. It charges what is read, ends the connections that the budget
// tells to go, and gives a handler the Request with which to charge what it makes of a body.
package callerconn
