// Package config follows the operators' configuration in the store: tables,
// keys, allotments, members and schedulers, with one waiting watch a process.
package config
