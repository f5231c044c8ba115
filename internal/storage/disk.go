// Package storage keeps a replica's state in one folder: a log file of
// checksummed records and a snapshot file.
package storage

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward"
)

const (
	fileMode   = 0o600
	folderMode = 0o750
)

// Dir is the Disk of a folder of the operating system.
type Dir struct {
	path string
}

// NewDir returns the disk of the folder, creating it when there is none.
func NewDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "cannot create data folder")
	}
	return &Dir{path: path}, nil
}

// ReadFile implements vanillaward.Disk.
func (f *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.filePath(name)) }

// Append implements vanillaward.Disk.
func (f *Dir) Append(name string) (vanillaward.File, error) {
	return os.OpenFile(f.filePath(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Create implements vanillaward.Disk.
func (f *Dir) Create(name string) (vanillaward.File, error) {
	return os.OpenFile(f.filePath(name), os.O_TRUNC|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Rename implements vanillaward.Disk.
func (f *Dir) Rename(oldName, newName string) error {
	return os.Rename(f.filePath(oldName), f.filePath(newName))
}

// Truncate implements vanillaward.Disk.
func (f *Dir) Truncate(name string, size int64) error { return os.Truncate(f.filePath(name), size) }

// SyncDir implements vanillaward.Disk.
func (f *Dir) SyncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (f *Dir) filePath(name string) string { return filepath.Join(f.path, name) }
