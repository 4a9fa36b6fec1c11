package forward

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that reaches its upstream with another path or host than its caller sent.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/order/17", "/", "/a?b=c", "/a?", "/a%2Fb", "/a|b", "//order/17", "//order/17?q=%2f", "//order/17?", "///x", "//a%2Fb", "//a/%7e", "/a//b",
	} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			sent, err := targetURL("10.0.0.1:80", target)
			is.NoErr(err)
			is.Equal(sent.RequestURI(), target)
			is.Equal(sent.Host, "10.0.0.1:80")
		})
	}
}

// Guards against a target that is sent with changes because it cannot be sent as it is.
func TestTargetThatWouldChangeIsNotSent(t *testing.T) {
	for _, target := range []string{`//a"b`, "//a%zz"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			is.True(CheckTarget(target) != nil)
		})
	}
}
