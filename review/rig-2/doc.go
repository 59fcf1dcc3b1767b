// Rig-2 runs the cases of the second review that can't be put as a day of the users' bench. It starts the programs of the
// deploy file as separate processes on loopback addresses, and plays the provider, the operator, the servers and the
// callers as the users' pages describe them. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could
// not run.
package main
