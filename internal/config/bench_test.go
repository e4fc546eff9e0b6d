package config

import (
	"fmt"
	"strings"
	"testing"
)

// largeSet returns validSet with 8 racks of 6 workers and 64 keys added.
func largeSet() string {
	var b strings.Builder
	b.WriteString(validSet)
	for i := range 64 {
		fmt.Fprintf(&b, "- {name: k%d, role: caller, organisation: haneul, sha256: %s}\n", i, HashKey(fmt.Sprint(i)))
	}
	b.WriteString("---\nracks:\n")
	for r := range 8 {
		fmt.Fprintf(&b, "- name: big-%d\n  zone: kr-a\n  workers:\n", r)
		for w := range 6 {
			fmt.Fprintf(&b, "  - {name: big-%d-%d, cpu: 64, memory: 128GiB, accelerators: 8, slots: 8}\n", r, w)
		}
	}
	return b.String()
}

func BenchmarkDecodeConfiguration(b *testing.B) {
	text := largeSet()
	for b.Loop() {
		if _, err := decodeText(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFindKey(b *testing.B) {
	set, err := decodeText(largeSet())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, ok := FindKey(set.Keys, HashKey("63")); !ok {
			b.Fatal("key 63 was not found by its hash")
		}
	}
}

func BenchmarkReadRecord(b *testing.B) {
	set, err := decodeText(largeSet())
	if err != nil {
		b.Fatal(err)
	}
	data, err := encodeRecord(Record{Kind: RecordApply, ID: "x"}, set)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		r := newReader()
		r.activate(1, data)
	}
}
