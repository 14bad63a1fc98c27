// Package caller serves callers and operators over HTTP, as docs/API.md says.
//
// It decodes, bounds and answers requests; what they mean is decided by the
// Service behind it.
package caller
