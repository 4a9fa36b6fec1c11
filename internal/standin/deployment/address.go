package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Ports for processes that may be restarted are below the ephemeral port range, from which the system
// takes the ports of outgoing connections (from 32768 by default on Linux). A port of that range may be in
// use when its process is restarted, which then cannot listen. The ports are taken from a block that this
// process owns, so that another deployment on the machine does not take one meanwhile either. The owner of
// a block is the process that listens on its first port.
const (
	firstPort     = 15000
	portsPerBlock = 500
	blockCount    = 34
)

// portBlock is the range of ports that this process can still assign.
var portBlock struct {
	sync.Mutex
	// listeners references the listener of every claimed block, because an unreferenced listener would be
	// closed.
	listeners []net.Listener
	next      int
	end       int
}

// FreeAddress returns a loopback address with a free port that this process has not returned before.
func FreeAddress() (string, error) {
	portBlock.Lock()
	defer portBlock.Unlock()
	for {
		if portBlock.next == portBlock.end {
			if err := claimBlock(); err != nil {
				return "", err
			}
		}
		address := portAddress(portBlock.next)
		portBlock.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// claimBlock claims a block that no other process owns. Its listener remains open until the process ends.
func claimBlock() error {
	for _, number := range rand.Perm(blockCount) {
		first := firstPort + number*portsPerBlock
		listener, err := net.Listen("tcp", portAddress(first))
		if err != nil {
			continue
		}
		portBlock.listeners = append(portBlock.listeners, listener)
		portBlock.next, portBlock.end = first+1, first+portsPerBlock
		return nil
	}
	return errors.New("deployment: all blocks of ports are in use")
}

func portAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree checks whether a process can listen at an address. No process may be forked meanwhile: it would have a copy of the
// listener until it runs its program, and the address would stay in use for so long.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
