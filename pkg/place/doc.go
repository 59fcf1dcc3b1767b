// Package place maps keys to slots and distributes slots over owners, such as upstreams, by load and speed.
package place
