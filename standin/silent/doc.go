// Package silent accepts connections that can fall silent, as behind a device that forgets them: neither side
// learns of it, while new connections work.
package silent
