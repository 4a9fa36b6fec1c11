package deployment

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against an address that was free when it was handed out, and in use when its process listens there: a process that
// starts at that moment has a copy of the listener of the check until it runs its program.
func TestAddressStaysFreeWhileProcessesStart(t *testing.T) {
	const (
		starters  = 8
		addresses = 400
	)
	if err := exec.Command("true").Run(); err != nil { // the first one has the runtime start a process of its own
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range starters {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range addresses {
		address, err := FreeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			break
		}
		listener.Close()
	}
	close(stop)
	running.Wait()
}
