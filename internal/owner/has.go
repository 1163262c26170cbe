package owner

import "foxhall/internal/program"

// Owns reports whether the program is owned here and has not ended.
func (s *Service) Owns(id program.ID) bool {
	r := s.lookup(id)
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.removed && !r.released
}
