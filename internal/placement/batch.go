package placement

// Batch is a set of decisions that are carried out in one transaction.
type Batch []Decision

// Batches splits decisions into batches of at most size, in order, so that mass
// cancellation costs the table service a few transactions instead of one for
// each job.
func Batches(decisions []Decision, size int) []Batch {
	var batches []Batch
	var batch Batch
	for _, d := range decisions {
		batch = append(batch, d)
		if len(batch) == size {
			batches = append(batches, batch)
			batch = nil
		}
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}
