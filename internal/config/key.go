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

// ValidHash reports whether text is a hash as HashKey returns it, in either case.
func ValidHash(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == sha256.Size
}

// FindKey returns the key whose hash is sum. It compares with every key, each in
// constant time, so that the time taken tells nothing about the keys.
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
