// Command lacewingstand: see its help. All work is in the packages named for it.
package main

func main() {}
