package scheduler

// overcommits reports whether the workers of a pool start whatever they are told
// to, also beyond their capacity.
func (e *Engine) overcommits(poolName string) bool {
	if e.catalog == nil {
		return false
	}
	p := e.catalog.Pools[poolName]
	return p != nil && !p.RejectsOverload
}
