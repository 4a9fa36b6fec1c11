// Package settings reads an instance's settings from its INI file. Everything that can be wrong is
// found before anything starts, and is reported together, each problem with file, section and name:
// an operator who mends one name at a time restarts the instance once for each.
package settings

import "time"

// Settings is all that an instance is told when it starts. Addresses are IP and port.
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

// Instance says who the instance is and where it listens. A port of 0 takes any free one; the event
// "listening" then tells which.
type Instance struct {
	Name            string
	DataCentre      string
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
}

// Platform says where the platform's services are.
type Platform struct {
	StoreAddress string
	ListAddress  string
	StoreTimeout time.Duration
}

// Operators lists the SHA-256 of each operator's token, in hex.
type Operators struct {
	TokenHashes []string
}

// Peers names the files with which instances prove to each other who they are. All three or none:
// with none, instances talk in the clear.
type Peers struct {
	Certificate string
	Key         string
	Authority   string
}

// Freshness bounds how long an instance may act on what it last confirmed.
type Freshness struct {
	Bound time.Duration
}

// Limits bounds what one request may take.
type Limits struct {
	BodyBytes     int64
	Patience      time.Duration
	FirstToken    time.Duration
	BetweenTokens time.Duration
	StopWithin    time.Duration
	StaleStream   time.Duration
}

// Policy weighs the placement of requests. See docs/OPERATORS.md for what each buys and costs.
type Policy struct {
	Preset string
}

// Log says how much is logged.
type Log struct {
	Level string
}
