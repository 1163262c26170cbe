package node

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"foxhall/internal/history"
	"foxhall/internal/store"
)

// copiesKind is the kind of the objects with copies of what keepers acknowledge as sole holders.
const copiesKind = "foxhall-copies"

// copyObject is the content of such an object.
type copyObject struct {
	Records []byte `json:"records"`
}

var _ history.Copies = (*fleet)(nil)

// WriteCopy implements history.Copies.
func (f *fleet) WriteCopy(ctx context.Context, name string, data []byte) (store.Version, error) {
	value, err := json.Marshal(copyObject{Records: data})
	if err != nil {
		return 0, errors.Wrap(err, "copy")
	}
	version, err := f.objects.Put(ctx, store.Key{Kind: copiesKind, Name: name}, value, 0)
	var conflict *store.Conflict
	switch {
	case errors.As(err, &conflict):
		return conflict.Current.Version, nil
	case errors.Is(err, store.ErrConflict):
		return 0, nil
	}
	return version, err
}

// ListCopies implements history.Copies.
func (f *fleet) ListCopies(ctx context.Context, prefix string) ([]history.Copy, error) {
	var copies []history.Copy
	for after := prefix; ; {
		page, more, err := f.objects.Page(ctx, copiesKind, after)
		if err != nil {
			return nil, err
		}
		if page.Partial {
			// A copy that is left out would lose what only it holds.
			return nil, errors.Errorf("copies %s: the listing is incomplete", prefix)
		}
		for _, object := range page.Objects {
			if !strings.HasPrefix(object.Key.Name, prefix) {
				more = more && object.Key.Name < prefix
				continue
			}
			var c copyObject
			if err := json.Unmarshal(object.Value, &c); err != nil {
				return nil, errors.Wrapf(err, "copy %s", object.Key.Name)
			}
			copies = append(copies, history.Copy{Name: object.Key.Name, Version: object.Version, Data: c.Records})
		}
		if !more {
			return copies, nil
		}
		after = page.Next
	}
}

// DeleteCopy implements history.Copies.
func (f *fleet) DeleteCopy(ctx context.Context, c history.Copy) error {
	err := f.objects.Delete(ctx, store.Key{Kind: copiesKind, Name: c.Name}, c.Version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
