// Package settings reads a daemon's INI settings file.
package settings
