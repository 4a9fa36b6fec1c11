// Package settings reads an instance's settings from its INI file. It validates the whole file before the
// instance starts and reports all problems at once, each with file, section and name. If only the first
// problem were reported, an operator would have to restart the instance once per mistake.
package settings

import "time"

// Settings holds the whole startup configuration of an instance. Addresses are IP and port.
type Settings struct {
	Instance  Instance
	Platform  Platform
	Operators Operators
	Peers     Peers
	Freshness Freshness
	Limits    Limits
	Policy    Policy
	Log       Log
}

// Instance identifies the instance and sets its listen addresses. Port 0 selects a free port; the log event
// "listening" reports which one.
type Instance struct {
	Name            string
	DataCentre      string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
}

// Platform sets the addresses of the platform's services and the time-out of calls to the store.
type Platform struct {
	StoreAddress string
	ListAddress  string
	StoreTimeout time.Duration
}

// Operators lists the SHA-256 hash of each operator's token, in hex.
type Operators struct {
	TokenHashes []string
}

// Peers names the files for mutual TLS between instances. Either all three are set or none; with none,
// instances communicate unencrypted.
type Peers struct {
	Certificate string
	Key         string
	Authority   string
}

// Freshness bounds how long an instance may act on its last confirmed configuration.
type Freshness struct {
	Bound time.Duration
}

// Limits bounds the size, the waiting times and the running time of one request.
type Limits struct {
	BodyBytes     int64
	Patience      time.Duration
	FirstToken    time.Duration
	BetweenTokens time.Duration
	StopWithin    time.Duration
	StaleStream   time.Duration
}

// Policy selects the placement policy. docs/OPERATORS.md describes the trade-offs of each preset.
type Policy struct {
	Preset string
}

// Log sets the log level.
type Log struct {
	Level string
}
