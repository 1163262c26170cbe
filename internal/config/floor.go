package config

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// floorFile holds the configuration last in force, within the data folder.
const savedFile = "config.json"

// loadFloor puts in force what an earlier life of the instance left on disk.
func (s *Source) loadSaved() {
	if s.options.Folder == "" {
		return
	}
	update, err := readSaved(filepath.Join(s.options.Folder, savedFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	if err == nil {
		err = s.install(update, "disk")
	}
	if err != nil {
		s.options.Log.WithError(err).Warn("configuration on disk not usable")
	}
}

// saveFloor writes the configuration about to be in force. A disk that fails
// is no reason to act by an older version, so the error is only logged.
func (s *Source) saveToDisk(c *Current) {
	if s.options.Folder == "" {
		return
	}
	update := Update{Version: c.Version, Manifest: c.manifest, Chunks: c.chunks}
	if err := writeSaved(filepath.Join(s.options.Folder, savedFile), update); err != nil {
		s.options.Log.WithError(err).Warn("configuration not saved")
	}
}

func readSaved(path string) (Update, error) {
	var update Update
	raw, err := os.ReadFile(path)
	if err != nil {
		return update, err
	}
	if err := json.Unmarshal(raw, &update); err != nil {
		return update, errors.Wrap(ErrCorrupt, err.Error())
	}
	return update, nil
}

// writeFloor replaces the file whole, so that a crash leaves the old or the new one.
func writeSaved(path string, update Update) error {
	raw, err := json.Marshal(update)
	if err != nil {
		return errors.Wrap(err, "config: floor")
	}
	file, err := os.CreateTemp(filepath.Dir(path), savedFile+".*")
	if err != nil {
		return errors.Wrap(err, "config: floor")
	}
	defer os.Remove(file.Name())
	if err := writeAndSync(file, raw); err != nil {
		return errors.Wrap(err, "config: floor")
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return errors.Wrap(err, "config: floor")
	}
	return errors.Wrap(syncFolder(filepath.Dir(path)), "config: floor")
}

// syncFolder makes a rename durable. Without it a power loss may bring the old
// file back, and the instance would start by a version older than it acted by.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

func writeAndSync(file *os.File, raw []byte) error {
	if _, err := file.Write(raw); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
