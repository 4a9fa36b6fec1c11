package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// A lost connection must not leak a goroutine. Connections are lost routinely, and each leaked
// goroutine would hold memory until the instance restarts.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
