// Package oper serves the status, events and metrics of a process on the users' platform to operators.
package oper
