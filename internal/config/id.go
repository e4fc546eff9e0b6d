package config

import (
	"crypto/rand"
	"encoding/hex"
)

const idBytes = 12

// NewID returns a random ID for an attempt to append.
func NewID() string {
	var id [idBytes]byte
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	return hex.EncodeToString(id[:])
}
