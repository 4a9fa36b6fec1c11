// Package listing reads the platform's list of instances and upstreams. The list lags: what it says
// is seconds old, and it may be unreachable. It is a hint about who is there and who is leaving, and
// nothing that must hold is built on it alone.
package listing

import "context"

// Role tells what a listed machine is.
type Role string

// The roles the platform lists.
const (
	RoleInstance Role = "instance"
	RoleEngine   Role = "engine"
	RoleService  Role = "service"
)

// Member is one line of the list. Address is where the others reach it (IP and port): for an
// instance its peer address, otherwise its HTTP address.
type Member struct {
	Name       string
	Role       Role
	Address    string
	DataCentre string
	Leaving    bool
}

// Listing is the platform's list.
type Listing interface {
	Members(ctx context.Context) ([]Member, error)
}
