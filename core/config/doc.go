// Package config keeps a process's view of the configuration in the store: tables, API
// keys, allotments, members and schedulers. Each process keeps one long-polling watch
// open.
package config
