// Package storage keeps a replica's state in one directory: a log file of
// checksummed records and a snapshot file.
package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
)

const (
	fileMode = 0o600
	dirMode  = 0o750
)

// Dir is the Disk of a directory of the operating system.
type Dir struct {
	path string
}

// NewDir returns the disk of the directory, creating it when there is none.
func NewDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "cannot create data folder")
	}
	return &Dir{path: path}, nil
}

// ReadFile implements vanillaward.Disk.
func (d *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

// Append implements vanillaward.Disk.
func (d *Dir) Append(name string) (vanillaward.File, error) {
	return os.OpenFile(d.filePath(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Create implements vanillaward.Disk.
func (d *Dir) Create(name string) (vanillaward.File, error) {
	return os.OpenFile(d.filePath(name), os.O_TRUNC|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Rename implements vanillaward.Disk.
func (d *Dir) Rename(oldName, newName string) error {
	return os.Rename(d.filePath(oldName), d.filePath(newName))
}

// Truncate implements vanillaward.Disk.
func (d *Dir) Truncate(name string, size int64) error { return os.Truncate(d.filePath(name), size) }

// SyncDir implements vanillaward.Disk.
func (d *Dir) SyncDir() error {
	opened, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = opened.Sync()
	if closeErr := opened.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d *Dir) filePath(name string) string { return filepath.Join(d.path, name) }
