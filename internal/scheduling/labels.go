package scheduling

import "slices"

// fillLabels moves one instance to each pool for each label that waiting work needs and no instance there carries, a
// switched-off one if there is any. The need for processor time does not show this: the pool may be idle otherwise.
func (b *balance) fillLabels() {
	for _, to := range b.pools {
		for _, label := range to.MissingLabels {
			b.acquireLabel(to, label)
		}
	}
}

// acquireLabel moves one instance with a label to a pool, from the first pool that can spare one: a pool that is
// switched off, one with a surplus, or one above the size that it keeps.
func (b *balance) acquireLabel(to *BalancePool, label string) bool {
	for _, spare := range []func(*BalancePool) bool{
		func(p *BalancePool) bool { return p.Standby },
		func(p *BalancePool) bool { return b.surplus(p) > 0 },
		func(p *BalancePool) bool { return p.Size > b.minKept(p) },
	} {
		for _, from := range b.pools {
			if from != to && spare(from) && b.move(from, to, from.idleWithLabel(label)) {
				return true
			}
		}
	}
	return false
}

// idleWithLabel returns the index of the first idle instance that carries a label, or -1.
func (p *BalancePool) idleWithLabel(label string) int {
	return slices.IndexFunc(p.Idle, func(x BalanceInstance) bool { return slices.Contains(x.Labels, label) })
}
