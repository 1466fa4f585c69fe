// Command celeryheadd is the daemon of an entry instance.
package main

func main() {}
