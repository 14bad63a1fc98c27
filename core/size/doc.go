// Package size parses amounts of cores and memory such as 0.5 and 256GiB.
package size
