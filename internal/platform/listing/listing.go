// Package listing reads the platform's list of instances and upstreams. The list is seconds out of date
// and can be unreachable. It is only a hint about which machines exist and which are leaving; no
// guarantee relies on it alone.
package listing

import "context"

// Role is the kind of a listed machine.
type Role string

// The roles in the platform's list.
const (
	RoleInstance Role = "instance"
	RoleEngine   Role = "engine"
	RoleService  Role = "service"
)

// Member is one entry of the list. Address is an IP and port: for an instance its peer address, otherwise
// its HTTP address.
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
