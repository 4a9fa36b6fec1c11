// Package integration proves what must always hold with real processes: it starts the programs of
// this repository on loopback, puts a fault-injecting proxy between them, and reads the plain records
// that the stand-ins keep. It holds tests only.
package integration
