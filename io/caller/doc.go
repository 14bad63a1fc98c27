// Package caller serves callers and operators over HTTP, as specified in docs/API.md.
//
// It decodes, limits and answers requests; the Service interface implements them.
package caller
