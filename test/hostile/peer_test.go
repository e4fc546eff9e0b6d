package hostile_test

import (
	"encoding/binary"
	"io"
	"testing"
)

const (
	// messageBytes is the size of an unfinished message, and messageCrowd the number of links on
	// which one is sent.
	messageBytes = 1 << 20
	messageCrowd = 200
)

// openLink requests a WebSocket connection at the peers' address and begins a message that does not end.
func openLink(_ *member, w io.Writer) error {
	if _, err := io.WriteString(w, "GET /peer HTTP/1.1\r\nHost: host\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"); err != nil {
		return err
	}
	// A binary frame with a 64-bit length and a mask of zeros.
	header := append([]byte{0x82, 0x80 | 127}, binary.BigEndian.AppendUint64(nil, messageBytes)...)
	header = append(header, 0, 0, 0, 0)
	if _, err := w.Write(header); err != nil {
		return err
	}
	_, err := w.Write(make([]byte, messageBytes-1))
	return err
}

// TestHostOutlivesCrowdsAtThePeersAddress lets crowds hold on to the address for other hosts.
func TestHostOutlivesCrowdsAtThePeersAddress(t *testing.T) {
	for _, shape := range []struct {
		name string
		size int
		send func(*member, io.Writer) error
	}{
		{"unfinished messages", messageCrowd, openLink},
		{"connections without a request", crowdSize, func(*member, io.Writer) error { return nil }},
	} {
		t.Run(shape.name, func(t *testing.T) {
			s := newSite(t)
			s.gather(s.peers, shape.size, shape.send)
			s.requireOrdinaryRequest(2)
			s.requireWithinLimits()
		})
	}
}
