// Package oper is what the processes of a deployment on the users' platform tell operators: their state and their events.
package oper
