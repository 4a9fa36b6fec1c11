// Telling a call that was never sent from one whose answer was lost.

package client

import (
	"net"

	"github.com/pkg/errors"
)

// dialFailed tells whether no connection came about, so that nothing can have been changed.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
