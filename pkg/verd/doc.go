// Package verd holds the verdict that each answer carries: whether the request may have run.
package verd
