// Package walog is a write-ahead log of checksummed records with snapshots in one folder.
//
// A record counts once Append has returned. A torn tail is cut on opening; damage anywhere
// else is an error. After a failed write or sync the log refuses all further work, since the
// kernel may have dropped the pages that it could not write.
package walog
