package inifile

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// values.go has the kinds of values: each gives a Field's Set, which checks a value and stores it.

// String takes any text.
func String[S any](target func(*S) *string) func(*S, string) error {
	return func(s *S, value string) error {
		*target(s) = value
		return nil
	}
}

// Address takes an IP and port.
func Address[S any](target func(*S) *string) func(*S, string) error {
	return func(s *S, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errors.Errorf("%q is not an IP and port, such as 127.0.0.1:8080", value)
		}
		*target(s) = value
		return nil
	}
}

// Duration takes a duration between two bounds.
func Duration[S any](low, high time.Duration, target func(*S) *time.Duration) func(*S, string) error {
	return func(s *S, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil {
			return errors.Errorf("%q is not a duration, such as 3s or 500ms", value)
		}
		if parsed < low || parsed > high {
			return errors.Errorf("%s is not between %s and %s", parsed, low, high)
		}
		*target(s) = parsed
		return nil
	}
}

// Int takes a whole number between two bounds.
func Int[S any](low, high int64, target func(*S) *int64) func(*S, string) error {
	return func(s *S, value string) error {
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.Errorf("%q is not a whole number", value)
		}
		if parsed < low || parsed > high {
			return errors.Errorf("%d is not between %d and %d", parsed, low, high)
		}
		*target(s) = parsed
		return nil
	}
}

// OneOf takes one of the allowed words.
func OneOf[S any](target func(*S) *string, allowed ...string) func(*S, string) error {
	return func(s *S, value string) error {
		for _, one := range allowed {
			if value == one {
				*target(s) = value
				return nil
			}
		}
		return errors.Errorf("%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

// Float takes a number between two bounds.
func Float[S any](low, high float64, target func(*S) *float64) func(*S, string) error {
	return func(s *S, value string) error {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", value)
		}
		if parsed < low || parsed > high {
			return errors.Errorf("%g is not between %g and %g", parsed, low, high)
		}
		*target(s) = parsed
		return nil
	}
}

// Bool takes true or false.
func Bool[S any](target func(*S) *bool) func(*S, string) error {
	return func(s *S, value string) error {
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return errors.Errorf("%q is neither true nor false", value)
		}
		*target(s) = parsed
		return nil
	}
}
