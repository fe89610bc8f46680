package intake

import "time"

// Limits are those of the operator's configuration on requests. A field that is 0
// has its default.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of a request.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the longest time from the first byte of a header to its end,
	// and from the opening of a connection to its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout is the longest time between two requests, between two parts of a
	// body, and for a part of an answer to be read.
	IdleTimeout time.Duration
}

// Defaults are the limits where the configuration states none.
var Defaults = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// orDefaults returns the limits with defaults for those that are not stated.
func (l Limits) orDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = Defaults.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = Defaults.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = Defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = Defaults.IdleTimeout
	}
	return l
}

// Bounds are what the clients of a listener may hold of a process.
type Bounds struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory for headers, bodies and the jobs decoded from them.
	Bytes int64
}

const (
	// bytesShare is the part of the process's memory for headers and bodies. An
	// owner of the control work takes 50 to 100 MB, and the collector leaves as much
	// garbage as there is live memory while bodies come and go.
	bytesShare = 0.08
	// connectionsShare is the part of the memory for connections, each of which
	// takes connectionBytes: two buffers, a goroutine with its stack, and the
	// receive buffer of the kernel.
	connectionsShare = 0.1
	connectionBytes  = 40 << 10
	// reservedDescriptors are those for files. Of the others, callers may hold
	// descriptorsShare: an owner needs 2,600 of 4,100 for workers.
	reservedDescriptors = 200
	descriptorsShare    = 0.3
	// defaultMemory and defaultDescriptors apply where the settings state none.
	// They are the smallest of the platform's hosts.
	defaultMemory      = 184 << 20
	defaultDescriptors = 4100
	minConnections     = 16
	minBytes           = 2 << 20
)

// CallerBounds returns the bounds of the callers' listener of a process with a limit
// on its memory, in bytes, and on its file descriptors. 0 stands for an unknown
// limit.
func CallerBounds(memory int64, descriptors int) Bounds {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	byMemory := int(connectionsShare * float64(memory) / connectionBytes)
	byDescriptors := int(descriptorsShare * float64(descriptors-reservedDescriptors))
	return Bounds{
		Connections: max(min(byMemory, byDescriptors), minConnections),
		Bytes:       max(int64(bytesShare*float64(memory)), minBytes),
	}
}

const (
	// entryBytesShare and entryDescriptorsShare are those of an entry, which owns no
	// control work: the rest of the memory is for answers and garbage, the rest of the
	// descriptors for connections to upstreams.
	entryBytesShare       = 0.15
	entryDescriptorsShare = 0.5
)

// EntryBounds returns the bounds of the callers' listener of an entry with a limit on
// its memory, in bytes, and on its file descriptors.
func EntryBounds(memory int64, descriptors int) Bounds {
	byMemory := int(connectionsShare * float64(memory) / connectionBytes)
	byDescriptors := int(entryDescriptorsShare * float64(descriptors-reservedDescriptors))
	return Bounds{
		Connections: max(min(byMemory, byDescriptors), minConnections),
		Bytes:       max(int64(entryBytesShare*float64(memory)), minBytes),
	}
}

// AdminBounds returns the bounds of the administration listener of an entry or a
// control process with a limit on its memory, in bytes, and on its file descriptors.
func AdminBounds(memory int64, descriptors int) Bounds {
	b := CallerBounds(memory, descriptors)
	b.Connections = min(max(b.Connections/adminConnectionsPart, minAdminConnections), maxAdminConnections)
	return b
}

const (
	// adminConnectionsPart is the inverse of the part of the callers' connections that
	// operators may hold. An answer may be much larger than connectionBytes.
	adminConnectionsPart                     = 4
	minAdminConnections, maxAdminConnections = 32, 1024
)

// OperatorBounds returns the bounds of a listener for readiness, metrics or
// administration.
func OperatorBounds() Bounds { return Bounds{Connections: 32, Bytes: 2 << 20} }
