// Package verd defines the verdict that every response carries: whether the request may have run.
package verd
