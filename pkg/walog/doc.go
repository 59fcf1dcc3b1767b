// Package walog is a write-ahead log of checksummed records with snapshots in one folder.
//
// A record is durable once Append has returned. Open truncates a torn tail; corruption anywhere
// else is an error. After a failed write or sync the log refuses all further work, since the
// kernel may have dropped the pages that it could not write.
package walog
