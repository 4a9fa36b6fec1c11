// Package integration tests the system's invariants with real processes. It starts the programs of this
// repository on loopback, puts fault-injecting proxies between them, and reads the records that the stand-ins
// write. It contains only tests.
package integration
