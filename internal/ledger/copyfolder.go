package ledger

import (
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"foxhall/internal/program"
)

// copySuffix is the file name suffix of held copies. A file being written has another suffix.
const copySuffix = ".held"

// copyFolder stores held copies as files, one for each Hold. A file is written under another name,
// synced and renamed, so that a crash leaves either no copy or a complete one. The checksum detects
// later damage on disk.
type copyFolder struct {
	path  string
	files map[program.Cohort][]copyFile
}

// copyFile is the file of one copy and the last sequence in it.
type copyFile struct {
	name         string
	lastSequence uint64
}

// openCopyFolder reads the copies in the folder. The error names files that can't be decoded; the
// folder is usable all the same.
func openCopyFolder(path string) (*copyFolder, []Copy, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, nil, errors.Wrap(err, "ledger: held copies")
	}
	names, err := filepath.Glob(filepath.Join(path, "*"+copySuffix))
	if err != nil {
		return nil, nil, errors.Wrap(err, "ledger: held copies")
	}
	f := &copyFolder{path: path, files: map[program.Cohort][]copyFile{}}
	var copies []Copy
	var torn []string
	for _, name := range names {
		c, err := readCopy(name)
		if err != nil || len(c.Records) == 0 {
			torn = append(torn, filepath.Base(name))
			continue
		}
		copies = append(copies, c)
		f.recordFile(name, c)
	}
	if len(torn) > 0 {
		return f, copies, errors.Wrapf(ErrCorrupt, "held copies unreadable: %s", strings.Join(torn, ", "))
	}
	return f, copies, nil
}

// readCopy reads and decodes one file. Errors are ErrCorrupt.
func readCopy(name string) (Copy, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Copy{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	return DecodeCopy(data)
}

// recordFile adds the copy's file to those known.
func (f *copyFolder) recordFile(name string, c Copy) {
	last := c.Records[len(c.Records)-1].Sequence
	f.files[c.Cohort] = append(f.files[c.Cohort], copyFile{name, last})
}

// write stores the copy durably in a file of its own.
func (f *copyFolder) write(c Copy) error {
	if len(c.Records) == 0 {
		return nil
	}
	// The name has the first and the last sequence: a slow Hold of one record must not replace the
	// file of a later Hold that begins with the same record and has more of them.
	last := c.Records[len(c.Records)-1].Sequence
	base := fmt.Sprintf("%s-%012d-%012d%s", url.PathEscape(string(c.Cohort)), c.Records[0].Sequence, last, copySuffix)
	name := filepath.Join(f.path, base)
	if err := writeSynced(name+".new", EncodeCopy(c)); err != nil {
		return errors.Wrap(err, "ledger: held copy")
	}
	if err := os.Rename(name+".new", name); err != nil {
		return errors.Wrap(err, "ledger: held copy")
	}
	if err := syncFolder(f.path); err != nil {
		return errors.Wrap(err, "ledger: held copy")
	}
	f.recordFile(name, c)
	return nil
}

// writeSynced writes a file and syncs it.
func writeSynced(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncFolder syncs a folder, which makes a rename in it durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// release deletes the cohort's files whose records are all released, and returns the last failure.
func (f *copyFolder) release(c program.Cohort, upTo uint64) error {
	var kept []copyFile
	var failed error
	for _, file := range f.files[c] {
		if file.lastSequence > upTo {
			kept = append(kept, file)
			continue
		}
		if err := os.Remove(file.name); err != nil && !os.IsNotExist(err) {
			failed = errors.Wrap(err, "ledger: held copy")
		}
	}
	f.files[c] = kept
	if len(kept) == 0 {
		delete(f.files, c)
	}
	return failed
}
