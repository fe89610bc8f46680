package limit

import "math"

// overcommitShare is how many requests an entry runs above its slots, as a share
// of them. Entries don't see each other's load, so that slots of one idle
// while another queues; requests over the slots use those at the worker.
const overcommitShare = 0.5

// GateLimit returns the limit of an entry's gate for its slots and
// connections in a pool: one at least while it has a connection.
func GateLimit(slots, connections int) int {
	return min(max(int(math.Round(float64(slots)*(1+overcommitShare))), 1), connections)
}
