// Package pack compresses messages between hosts whose size grows with the deployment.
package pack
