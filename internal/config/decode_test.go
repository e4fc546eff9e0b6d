package config

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSet = `organisations:
- name: haneul
  weight: 2
  quota: 64
  classes: [check]
  guarantees:
  - {zone: kr-a, cells: 1, cell_size: 8}
classes:
- {name: check, urgent: true, checkpoint: false, max_run_time: 90m}
racks:
- name: r1
  zone: kr-a
  workers:
  - {name: w1, cpu: 64, memory: 128GiB, accelerators: 8, slots: 8}
keys:
- {name: ops, role: operator, sha256: 4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d}
- {name: desk, role: caller, organisation: haneul, sha256: 637215c28b01aad725f4641c94744df7ab060123388874c9fb3fa37ec141ed3c}
`

func decodeText(text string) (*Set, error) {
	return Decode([]File{{Name: "all.yaml", Data: []byte(text)}})
}

func mustDecode(t testing.TB) *Set {
	t.Helper()
	set, err := decodeText(validSet)
	assert.NilError(t, err)
	return set
}

func TestValidSetIsDecodedWithItsValues(t *testing.T) {
	set := mustDecode(t)
	assert.Equal(t, len(set.Check()), 0)
	cfg := set.Core(7)
	assert.Equal(t, cfg.Workers[0].MemoryBytes, int64(128)<<30)
	assert.Equal(t, cfg.Organisations[0].Weight, 2)
	assert.Equal(t, set.Classes[0].RunTimeLimit().Minutes(), 90.0)
}

func TestEachFaultNamesFileLineAndReason(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "  quota: 64", "  qouta: 64", "all.yaml:4: organisations[0].qouta: unknown field"},
		{"field twice", "  quota: 64", "  weight: 64", "all.yaml:4: organisations[0].weight: field appears twice"},
		{"bad unit", "128GiB", "128", `all.yaml:14: racks[0].workers[0].memory: "128" is not a size with a unit such as 128GiB`},
		{"bad time", "90m", "90", `all.yaml:9: classes[0].max_run_time: "90" is not a positive duration with a unit such as 90m`},
		{"zero", "weight: 2", "weight: 0", "all.yaml:3: organisations[0].weight: 0 is below 1"},
		{"negative", "slots: 8", "slots: -1", "all.yaml:14: racks[0].workers[0].slots: -1 is below 1"},
		{"not a number", "cpu: 64", "cpu: many", `all.yaml:14: racks[0].workers[0].cpu: "many" is not a whole number`},
		{"unknown zone", "{zone: kr-a, cells", "{zone: kr-x, cells", `all.yaml:7: organisations[0].guarantees[0].zone: no rack is in zone "kr-x"`},
		{"unknown class", "classes: [check]", "classes: [chekc]", `all.yaml:5: organisations[0].classes[0]: class "chekc" is not defined`},
		{"unknown organisation", "organisation: haneul", "organisation: hanuel", `all.yaml:17: keys[1].organisation: organisation "hanuel" is not defined`},
		{"bad hash", "637215c2", "637215", "all.yaml:17: keys[1].sha256: is not a SHA-256 in hexadecimal"},
		{"bad role", "role: caller", "role: guest", `all.yaml:17: keys[1].role: "guest" is neither caller nor operator`},
		{"no operator", "role: operator", "role: caller, organisation: haneul", "all.yaml:16: keys: no key has role operator"},
		{"guarantee does not fit", "cells: 1, cell_size: 8}", "cells: 2, cell_size: 8}", "all.yaml:7: organisations[0].guarantees[0]: organisation haneul: zone kr-a: 1 of 2 cells of 8 accelerators fit"},
		{"alias", "cpu: 64", "cpu: &n 64", "all.yaml:14: racks[0].workers[0].cpu: anchors and aliases are not supported"},
		{"syntax", "racks:", "racks: [", "not YAML"},
		{"no value", "cpu: 64", "cpu: ", "all.yaml:14: racks[0].workers[0].cpu: has no value"},
		{"wrong shape", "classes: [check]", "classes: check", "all.yaml:5: organisations[0].classes: want a list"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeText(strings.Replace(validSet, c.old, c.new, 1))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestAllFaultsOfAllFilesAreListedTogether(t *testing.T) {
	_, err := Decode([]File{
		{Name: "a.yaml", Data: []byte(strings.Replace(validSet, "quota", "qouta", 1))},
		{Name: "b.yaml", Data: []byte("classes:\n- {name: check, weight: -3}\n")},
	})
	assert.ErrorContains(t, err, "a.yaml:4: organisations[0].qouta: unknown field")
	assert.ErrorContains(t, err, "b.yaml:2: classes[1].weight: -3 is below 1")
	assert.ErrorContains(t, err, "b.yaml:2: classes[1].name: check appears twice; first at classes[0].name")
}

func TestBrokenFileDoesNotHideOtherFilesFaults(t *testing.T) {
	_, err := Decode([]File{
		{Name: "a.yaml", Data: []byte("organisations: [\n")},
		{Name: "b.yaml", Data: []byte(strings.Replace(validSet, "cpu: 64", "cpu: 0", 1))},
	})
	assert.ErrorContains(t, err, "a.yaml:")
	assert.ErrorContains(t, err, "b.yaml:14: racks[0].workers[0].cpu: 0 is below 1")
}

func TestKeyIsFoundByHashInEitherCase(t *testing.T) {
	keys := []Key{{Name: "a", SHA256: strings.ToUpper(HashKey("one"))}, {Name: "b", SHA256: HashKey("two")}}
	k, ok := FindKey(keys, HashKey("one"))
	assert.Assert(t, ok)
	assert.Equal(t, k.Name, "a")
	_, ok = FindKey(keys, HashKey("three"))
	assert.Assert(t, !ok)
}

func FuzzDecodeConfiguration(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("racks: [{name: a, workers: *x}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, err := Decode([]File{{Name: "f.yaml", Data: data}})
		if err == nil && len(set.Check()) > 0 {
			t.Fatalf("accepted a set with faults: %v", set.Check())
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	set, err := decodeText(validSet)
	assert.NilError(f, err)
	data, err := encodeRecord(Record{Kind: RecordApply, ID: "x"}, set)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`{"kind":"snapshot","as_of":3,"generation":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, ok := decodeRecord(data)
		if !ok {
			return
		}
		if set, err := rec.decodeSet(); err == nil && len(set.Check()) > 0 {
			t.Fatal("accepted a record whose set has faults")
		}
	})
}
