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

// Folder is the Disk of a folder of the operating system.
type Folder struct {
	path string
}

// NewFolder returns the disk of the folder, creating it when there is none.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "cannot create data folder")
	}
	return &Folder{path: path}, nil
}

// ReadFile implements vanillaward.Disk.
func (f *Folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.filePath(name)) }

// Append implements vanillaward.Disk.
func (f *Folder) Append(name string) (vanillaward.File, error) {
	return os.OpenFile(f.filePath(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Create implements vanillaward.Disk.
func (f *Folder) Create(name string) (vanillaward.File, error) {
	return os.OpenFile(f.filePath(name), os.O_TRUNC|os.O_CREATE|os.O_WRONLY, fileMode)
}

// Rename implements vanillaward.Disk.
func (f *Folder) Rename(oldName, newName string) error {
	return os.Rename(f.filePath(oldName), f.filePath(newName))
}

// Truncate implements vanillaward.Disk.
func (f *Folder) Truncate(name string, size int64) error { return os.Truncate(f.filePath(name), size) }

// SyncFolder implements vanillaward.Disk.
func (f *Folder) SyncFolder() error {
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

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }
