// Package logs writes structured log lines without ever blocking the caller on the output: lines that arrive faster
// than they can be written, or above a rate limit, are dropped and counted.
package logs
