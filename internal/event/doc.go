// Package event is the time line: what changed, where and when, in one order over all processes.
package event
