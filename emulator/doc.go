// Package emulator holds small stand-ins for the platform's services.
//
// They implement the interfaces and protocols that instances use, keep their
// state in memory, and let tests inject the faults of the platform.
package emulator
