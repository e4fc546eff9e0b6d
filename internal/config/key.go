package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// HashKey returns the hexadecimal SHA-256 of an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ValidKeyHash reports whether text is a hexadecimal SHA-256 in upper or lower case.
func ValidKeyHash(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size
}

// FindKey returns the key with the given hash, as HashKey returns it. It compares the
// hash with every key, each in constant time, so that timing reveals nothing about them.
func FindKey(keys []Key, sum string) (Key, bool) {
	found := -1
	for i, k := range keys {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(k.SHA256)), []byte(sum)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Key{}, false
	}
	return keys[found], true
}
