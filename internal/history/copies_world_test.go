package history

import (
	"context"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

var (
	errResponseLost   = errors.New("no response of the store")
	errObjectTooLarge = errors.New("object too large for the store")
)

// maxObjectBytes is the largest object of the store, in bytes. The records of a copy are in it as base64.
const maxObjectBytes = 1 << 20

// storeCall makes a call to the store, during which the lock is held.
func (m *machine) storeCall(ctx context.Context, f func(cl *cluster) error) error {
	if err := m.waitWhilePaused(ctx); err != nil {
		return err
	}
	cl := m.cluster
	sleep(ctx, 4*messageDelay+cl.storeDelay)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.storeCalls++
	if cl.storeUnavailable || cl.storeUnreachableFrom == m.name || cl.storeUnreachableFrom == m.dataCentre {
		return store.ErrUnavailable
	}
	return f(cl)
}

// WriteCopy implements Copies.
func (m *machine) WriteCopy(ctx context.Context, name string, data []byte) (store.Version, error) {
	return 1, m.storeCall(ctx, func(cl *cluster) error {
		if base64.StdEncoding.EncodedLen(len(data)) > maxObjectBytes {
			return errObjectTooLarge
		}
		if cl.copies[name] == nil {
			cl.copies[name] = data
		}
		if cl.writeResponsesToLose > 0 {
			cl.writeResponsesToLose--
			return errResponseLost
		}
		return nil
	})
}

// ListCopies implements Copies.
func (m *machine) ListCopies(ctx context.Context, prefix string) ([]Copy, error) {
	var list []Copy
	err := m.storeCall(ctx, func(cl *cluster) error {
		for name, data := range cl.copies {
			if strings.HasPrefix(name, prefix) {
				list = append(list, Copy{Name: name, Data: data})
			}
		}
		return nil
	})
	slices.SortFunc(list, func(a, b Copy) int { return strings.Compare(a.Name, b.Name) })
	return list, err
}

// DeleteCopy implements Copies.
func (m *machine) DeleteCopy(ctx context.Context, c Copy) error {
	return m.storeCall(ctx, func(cl *cluster) error {
		delete(cl.copies, c.Name)
		return nil
	})
}
