package quota

// admitted.go sums up what each instance has admitted.

// Admitted returns the cost that each instance has admitted in total, over all workspaces, as far as it is known.
func (l *Ledger) Admitted() map[string]float64 {
	admitted := make(map[string]float64, len(l.peers)+1)
	admitted[l.Self] = l.own.sum()
	for name, p := range l.peers {
		if p.totals != nil {
			admitted[name] = p.totals.sum()
		}
	}
	return admitted
}

func (s Totals) sum() (sum float64) {
	for _, total := range s {
		sum += total
	}
	return sum
}
