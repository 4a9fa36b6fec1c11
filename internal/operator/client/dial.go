// Distinguishes a call that was never sent from one whose response was lost.

package client

import (
	"net"

	"github.com/pkg/errors"
)

// dialFailed reports whether no connection was established, so that nothing can have been changed.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
