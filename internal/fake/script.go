package fake

import "sync"

// Script draws faults from a list, which it repeats, so that a generated list determines
// a whole run.
type Script struct {
	// Kinds is the list of faults. If it is empty, None is drawn.
	Kinds []int

	mu   sync.Mutex
	next int
}

// Draw returns the next fault.
func (s *Script) Draw() Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.Kinds) == 0 {
		return None
	}
	kind := s.Kinds[s.next%len(s.Kinds)]
	s.next++
	return Kind(kind)
}
