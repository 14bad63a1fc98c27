// Package share orders teams by weighted dominant-resource fair share.
package share
