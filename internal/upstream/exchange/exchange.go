// Package exchange makes single HTTP exchanges with upstreams, each on a connection of its own, and
// knows of each whether any byte of the request left this process. The engine and service clients
// stand on it.
package exchange
