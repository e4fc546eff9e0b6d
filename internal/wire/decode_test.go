package wire_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
	_ "agatewinch/test/rapidseed"
)

func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := wire.Envelope{
			Version: rapid.Int().Draw(t, "version"),
			ID:      rapid.Uint64().Draw(t, "id"),
			Kind:    wire.Kind(rapid.String().Draw(t, "kind")),
			Reply:   rapid.Bool().Draw(t, "reply"),
		}
		if rapid.Bool().Draw(t, "failed") {
			env.Error = &wire.Error{Kind: errkind.QueueFull, Message: rapid.String().Draw(t, "message")}
		}
		data, err := cbor.Marshal(env)
		assert.NilError(t, err)
		got, err := wire.Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, env)
	})
}

func TestDecodeRejectsTrailingAndOversizedData(t *testing.T) {
	data, err := cbor.Marshal(wire.Envelope{ID: 1})
	assert.NilError(t, err)
	_, err = wire.Decode(append(data, 0))
	assert.Assert(t, err != nil)
	_, err = wire.Decode(make([]byte, wire.MaxMessageBytes+1))
	assert.Assert(t, err != nil)
}

func FuzzDecode(f *testing.F) {
	data, _ := cbor.Marshal(wire.Envelope{Version: wire.Version, ID: 1, Kind: wire.KindHeartbeat, Error: &wire.Error{}})
	f.Add(data)
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, err := wire.Decode(data)
		if err != nil {
			assert.DeepEqual(t, env, wire.Envelope{})
			return
		}
		again, err := cbor.Marshal(env)
		assert.NilError(t, err)
		_, err = wire.Decode(again)
		assert.NilError(t, err)
	})
}
