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

// copySuffix ends the names of held copies; a file being written has another.
const copySuffix = ".held"

// copyFolder keeps held copies as files, one for each Hold. A file is written
// under another name, synced and renamed, so that a crash leaves either no
// copy or a whole one; the checksum finds what a bad disk does to it later.
type copyFolder struct {
	path  string
	files map[program.Cohort][]copyFile
}

type copyFile struct {
	name         string
	lastSequence uint64
}

// openCopyFolder reads what the folder holds. A torn file is named in the
// error, and the folder is usable all the same.
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
		return f, copies, errors.Wrapf(ErrCorrupt, "held copies %s", strings.Join(torn, ", "))
	}
	return f, copies, nil
}

func readCopy(name string) (Copy, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Copy{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	return DecodeCopy(data)
}

func (f *copyFolder) recordFile(name string, c Copy) {
	last := c.Records[len(c.Records)-1].Sequence
	f.files[c.Cohort] = append(f.files[c.Cohort], copyFile{name, last})
}

func (f *copyFolder) write(c Copy) error {
	if len(c.Records) == 0 {
		return nil
	}
	// The name has both ends: a slow Hold of one record must not replace the
	// file of a later one that begins with the same record and has more.
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

// syncFolder makes a rename durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// release deletes the cohort's files whose records are all released.
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
