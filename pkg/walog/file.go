package walog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// WriteFile replaces the content of a file atomically: after a crash the file has either the old or the new content.
func WriteFile(path string, data []byte, options ...Option) error {
	return newLog(filepath.Dir(path), options).writeFile(path, data)
}

func (l *Log) writeFile(path string, data []byte) error {
	temp := path + tempSuffix
	if err := l.writeSynced(temp, data); err != nil {
		return fmt.Errorf("write %s: %w", temp, err)
	}
	if err := os.Rename(temp, path); err != nil {
		return fmt.Errorf("replace %s: %w", path, err)
	}
	return l.syncDir()
}

// syncDir makes the file names in the log folder durable, unless syncs are left out.
func (l *Log) syncDir() error {
	if l.skipSync {
		return nil
	}
	return SyncDir(l.dir)
}

// SyncDir makes created, renamed and removed file names in a folder durable.
func SyncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}

func (l *Log) writeSynced(path string, data []byte) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := l.open(path)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return err
	}
	if !l.skipSync {
		if err := file.Sync(); err != nil {
			file.Close()
			return err
		}
	}
	return file.Close()
}
