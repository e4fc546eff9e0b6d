package intake

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// defaultMemory and defaultDescriptors are assumed if a deployment gives no limits.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	// bodyShare is the part of the memory for the requests of callers, peerShare that for messages of
	// peers, and answerShare that for answers of workers and the platform.
	bodyShare   = 1.0 / 8
	peerShare   = 1.0 / 16
	answerShare = 1.0 / 16
	// connShare is the part of the memory for the connections of callers, of which each takes up to
	// connBytes: stacks, buffers and a request of usual size.
	connShare = 1.0 / 4
	connBytes = 48 << 10
	// connDescriptors and peerDescriptors are the parts of the descriptors for connections of callers
	// and of peers. The rest is for the process's own connections to workers, peers and the platform.
	connDescriptors = 1.0 / 4
	peerDescriptors = 1.0 / 8
	// minConnections and minBytes leave room for a single request on the smallest machine.
	minConnections = 16
	minBytes       = 4 << 20
)

// Limits bounds what a process holds for others.
type Limits struct {
	// Bytes is the budget for callers' requests, PeerBytes that for peers' messages and AnswerBytes
	// that for answers to the process's own requests, each in bytes.
	Bytes, PeerBytes, AnswerBytes int64
	// Connections and PeerConnections bound the open connections of callers and of peers.
	Connections, PeerConnections int
}

// LimitsFor derives limits from the memory of a process, in bytes, and from the descriptors that it may
// open. Zero means that the deployment gives no such limit.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	share := func(part float64) int64 { return max(minBytes, int64(part*float64(memory))) }
	connections := min(int(connShare*float64(memory)/connBytes), int(connDescriptors*float64(descriptors)))
	return Limits{
		Bytes: share(bodyShare), PeerBytes: share(peerShare), AnswerBytes: share(answerShare),
		Connections: max(minConnections, connections), PeerConnections: max(minConnections, int(peerDescriptors*float64(descriptors))),
	}
}

// systemDescriptors returns the operating system's limit of descriptors, or defaultDescriptors if that
// is lower or the limit is unknown.
func systemDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return defaultDescriptors
	}
	return min(defaultDescriptors, int(limit.Cur))
}

// Or returns l with its zero fields taken from defaults.
func (l Limits) Or(defaults Limits) Limits {
	orBytes := func(v *int64, d int64) {
		if *v <= 0 {
			*v = d
		}
	}
	orBytes(&l.Bytes, defaults.Bytes)
	orBytes(&l.PeerBytes, defaults.PeerBytes)
	orBytes(&l.AnswerBytes, defaults.AnswerBytes)
	if l.Connections <= 0 {
		l.Connections = defaults.Connections
	}
	if l.PeerConnections <= 0 {
		l.PeerConnections = defaults.PeerConnections
	}
	return l
}
