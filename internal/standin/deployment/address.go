package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports for processes that may be started again lie below the range from which the system takes the
// ports of outgoing connections (from 32768 by default on Linux): a port of that range may be in use
// just when its process is started again, which then cannot listen. They are taken from a block that
// belongs to this process alone, so that another deployment on the machine does not take one meanwhile
// either. A block belongs to whoever listens at its first port.
const (
	lowestPort = 15000
	blockPorts = 500
	blocks     = 34
)

// block is the ports that this process may still hand out.
var block struct {
	sync.Mutex
	// owners keeps every claimed block, since a listener that nobody holds would be closed.
	owners []net.Listener
	next   int
	end    int
}

// FreeAddress hands out an address on loopback that was never handed out before by this process.
func FreeAddress() (string, error) {
	block.Lock()
	defer block.Unlock()
	for {
		if block.next == block.end {
			if err := claimBlock(); err != nil {
				return "", err
			}
		}
		address := portAddress(block.next)
		block.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// claimBlock takes over a block that nobody has. The listener is kept open until the process ends.
func claimBlock() error {
	for _, number := range rand.Perm(blocks) {
		first := lowestPort + number*blockPorts
		owner, err := net.Listen("tcp", portAddress(first))
		if err != nil {
			continue
		}
		block.owners = append(block.owners, owner)
		block.next, block.end = first+1, first+blockPorts
		return nil
	}
	return errors.New("deployment: no block of ports is free")
}

func portAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
