// Package memnet provides an in-memory network for tests, whose connections have a delay and can be
// partitioned, healed and blackholed.
package memnet
