package placement

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Processors, o.Processors), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// processorSlack absorbs rounding errors in sums of fractional cores.
const processorSlack = 1e-6

// Fits reports whether r fits into the free capacity.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors+processorSlack &&
		r.MemoryMB <= free.MemoryMB &&
		r.Accelerators <= free.Accelerators
}

// capacityTree is a segment tree over the free capacity of workers. Its leaves
// are the workers in a fixed order, and each inner node holds the maximum of
// each resource below it, so a search skips subtrees that can't fit.
type capacityTree struct {
	leaves  int
	maxFree []Resources
}

// newCapacityTree returns a tree over the workers' free capacity.
func newCapacityTree(available []Resources) *capacityTree {
	leaves := 1
	for leaves < len(available) {
		leaves *= 2
	}
	none := Resources{Processors: -1, MemoryMB: -1, Accelerators: -1}
	t := &capacityTree{leaves: leaves, maxFree: make([]Resources, 2*leaves)}
	for i := range t.maxFree {
		t.maxFree[i] = none
	}
	copy(t.maxFree[leaves:], available)
	for i := leaves - 1; i >= 1; i-- {
		t.maxFree[i] = t.maxFree[2*i].Max(t.maxFree[2*i+1])
	}
	return t
}

// free returns the free capacity of worker i.
func (t *capacityTree) free(i int) Resources { return t.maxFree[t.leaves+i] }

// set changes the free capacity of worker i.
func (t *capacityTree) set(i int, free Resources) {
	i += t.leaves
	t.maxFree[i] = free
	for i /= 2; i >= 1; i /= 2 {
		t.maxFree[i] = t.maxFree[2*i].Max(t.maxFree[2*i+1])
	}
}

// next returns the index of the first worker, starting at from, that size fits,
// or -1.
func (t *capacityTree) next(from int, size Resources) int {
	return t.search(1, 0, t.leaves, from, size)
}

// search looks for it below one node, which spans the workers lo to hi-1.
func (t *capacityTree) search(node, lo, hi, from int, size Resources) int {
	if hi <= from || !size.Fits(t.maxFree[node]) {
		return -1
	}
	if node >= t.leaves {
		return lo
	}
	mid := (lo + hi) / 2
	if i := t.search(2*node, lo, mid, from, size); i >= 0 {
		return i
	}
	return t.search(2*node+1, mid, hi, from, size)
}
