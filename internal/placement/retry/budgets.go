package retry

// budgets.go keeps a separate retry budget for each service.

// Budgets holds one budget per service, because operators bound the retries of each service. With a single budget,
// the first attempts of a busy service would pay for the retries of a failing one. The failing service would get
// several times the allowed load when its capacity is lowest. Set the exported fields before use. It is not safe for
// concurrent use.
type Budgets struct {
	// Ratio is the allowed ratio of retries to first attempts of a service.
	Ratio float64
	// MaxUnused is the maximum number of unused retries per service. A new budget starts with half of them.
	MaxUnused float64

	services map[string]*Budget
}

// For returns the budget of a service.
func (b *Budgets) For(service string) *Budget {
	if budget := b.services[service]; budget != nil {
		return budget
	}
	if b.services == nil {
		b.services = make(map[string]*Budget)
	}
	b.services[service] = NewHalfFull(b.Ratio, b.MaxUnused)
	return b.services[service]
}

// SetMax changes the maximum number of unused retries per service.
func (b *Budgets) SetMax(maxUnused float64) {
	b.MaxUnused = maxUnused
	for _, budget := range b.services {
		budget.SetMax(maxUnused)
	}
}
