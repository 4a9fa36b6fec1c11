package engine_test

import (
	"testing"

	"go.uber.org/goleak"
)

// A lost connection must not leave a goroutine behind: each would cost memory until the instance is
// restarted, and lost connections are an everyday matter.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
