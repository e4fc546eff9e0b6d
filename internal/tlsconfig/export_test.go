package tlsconfig

import "time"

// Recheck lets the next handshake look at the files again at once.
func (s *Source) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = time.Time{}
}
