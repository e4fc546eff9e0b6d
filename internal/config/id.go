package config

import (
	"crypto/rand"
	"encoding/hex"
)

const idBytes = 12

// NewID returns a random ID for a proposal or a snapshot.
func NewID() string {
	var id [idBytes]byte
	_, _ = rand.Read(id[:]) // documented to never return an error
	return hex.EncodeToString(id[:])
}
