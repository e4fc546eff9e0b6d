package tlsconfig

import "time"

// Recheck makes the next handshake check the files regardless of checkInterval.
func (s *Source) Recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCheck = time.Time{}
}
