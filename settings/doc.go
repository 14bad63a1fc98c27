// Package settings reads the INI settings file with which a daemon starts.
package settings
