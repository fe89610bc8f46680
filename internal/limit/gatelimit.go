package limit

import "math"

// overcommitShare is the number of requests that an entry runs above its
// slots, as a share of them. Entries don't see each other's load, so one
// entry's slots may be idle while another entry queues. Requests above the
// entry's slots can use those idle slots at the worker.
const overcommitShare = 0.5

// GateLimit returns the limit of an entry's gate for its slots and connections
// in a pool. It is at least 1 while the entry has a connection, and never
// above connections.
func GateLimit(slots, connections int) int {
	return min(max(int(math.Round(float64(slots)*(1+overcommitShare))), 1), connections)
}
