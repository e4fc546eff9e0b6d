package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashKey returns the hexadecimal SHA-256 of an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func constantTimeEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}
