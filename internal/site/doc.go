// Package site holds the settings of a process: its host, its zone, its addresses and the bounds set by the platform.
package site
