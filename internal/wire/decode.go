package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Limits on the structure of a message from a peer.
const (
	maxNesting = 16 // levels of arrays and maps
	// maxElements bounds the elements of an array and the pairs of a map.
	maxElements = 1 << 17
)

var decoder = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	MaxNestedLevels:  maxNesting,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxElements,
})

func mustDecMode(opts cbor.DecOptions) cbor.DecMode {
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes one envelope. It fails if data is longer than MaxMessageBytes or holds
// anything after the envelope.
func Decode(data []byte) (Envelope, error) {
	var env Envelope
	if len(data) > MaxMessageBytes {
		return env, trace.LimitExceeded("message of %d bytes exceeds the maximum size", len(data))
	}
	if err := decoder.Unmarshal(data, &env); err != nil {
		return Envelope{}, trace.Wrap(err)
	}
	return env, nil
}

// DecodeBody decodes the body of a request or a reply into out.
func DecodeBody(body cbor.RawMessage, out any) error {
	return trace.Wrap(decoder.Unmarshal(body, out))
}
