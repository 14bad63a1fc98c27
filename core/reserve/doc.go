// Package reserve decides who may hold room that it can't use yet: in each service one claimant at a time, and only room for all that it
// needs.
package reserve
