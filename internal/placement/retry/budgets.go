package retry

// budgets.go keeps apart what may be retried at each service.

// Budgets keeps a budget for each service, as operators bound the retries that each of them gets. With one for all,
// the first tries at a busy service pay for retries at another that is failing, and that one gets several times what
// is allowed just when it can take the least. Set Ratio and Most before use. It is not safe for use by several
// goroutines.
type Budgets struct {
	// Ratio is the share of a service's first tries that may be retried there.
	Ratio float64
	// MaxUnused is how many unused retries are kept for a service; half of them are there at the beginning.
	MaxUnused float64

	services map[string]*Budget
}

// For gives the budget of a service.
func (b *Budgets) For(service string) *Budget {
	if known := b.services[service]; known != nil {
		return known
	}
	if b.services == nil {
		b.services = make(map[string]*Budget)
	}
	b.services[service] = NewHalfFull(b.Ratio, b.MaxUnused)
	return b.services[service]
}

// SetMax changes how many unused retries are kept for each service.
func (b *Budgets) SetMax(most float64) {
	b.MaxUnused = most
	for _, budget := range b.services {
		budget.SetMax(most)
	}
}
