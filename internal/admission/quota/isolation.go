package quota

import "time"

// isolation.go bounds what an instance admits while it has no contact with any other. Its estimate of the bucket then
// gains the whole rate and loses nothing to the others, which go on without it.

const (
	// isolatedAfter is how long an instance may have no message of any other. Each link carries several in that time.
	isolatedAfter = time.Second
	// isolatedRetryAfter is when requests that an isolated instance refuses may come back. Other instances may take them.
	isolatedRetryAfter = 300 * time.Millisecond
)

// RecordContact records that a message of another instance has arrived.
func (l *Ledger) RecordContact(now time.Time) { l.contactAt = now }

// isBeyondShare reports whether an isolated instance has admitted its share of a workspace's burst and rate since the last
// contact. What it admitted before it could know that it was isolated counts.
func (l *Ledger) isBeyondShare(now time.Time, workspace string) bool {
	silence := now.Sub(l.contactAt)
	if len(l.peers) == 0 || l.contactAt.IsZero() || silence <= isolatedAfter {
		return false
	}
	b, limit := l.buckets[workspace], l.limits[workspace]
	share := (limit.Burst + limit.Rate*silence.Seconds()) / float64(1+len(l.peers))
	return b.admittedSinceContact(l.contactAt) > share
}

// admittedSinceContact returns what this instance has admitted since a contact.
func (b *bucket) admittedSinceContact(contact time.Time) float64 {
	if !b.contactAt.Equal(contact) {
		return 0
	}
	return b.sinceContact
}

// addSinceContact adds what this instance admits.
func (b *bucket) addSinceContact(contact time.Time, cost float64) {
	b.sinceContact = b.admittedSinceContact(contact) + cost
	b.contactAt = contact
}
