package deployment

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports for processes that may be started again lie below the range from which the system takes the
// ports of outgoing connections (from 32768 by default on Linux). A port of that range may be in use by
// an outgoing connection just when its process is started again, which then cannot listen.
const (
	lowestPort  = 15000
	highestPort = 32000
	addressTry  = 100
)

// given remembers the ports handed out by this process, since those of a process that is just being
// started again look free.
var given struct {
	sync.Mutex
	ports map[int]bool
}

// freeAddress picks a free address on loopback at random.
func freeAddress() (string, error) {
	given.Lock()
	defer given.Unlock()
	if given.ports == nil {
		given.ports = make(map[int]bool)
	}
	for range addressTry {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if given.ports[port] || !isFree(address) {
			continue
		}
		given.ports[port] = true
		return address, nil
	}
	return "", errors.New("deployment: no free port found")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
