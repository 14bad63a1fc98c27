// Package size reads amounts of cores and memory as people write them.
package size
