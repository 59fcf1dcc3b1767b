// Package place maps keys to slots and spreads slots over upstreams.
package place
