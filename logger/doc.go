// Package logger writes numbered log events.
//
// Each event has a number, a level and a message that never change meaning, and
// one typed function that emits it. docs/events.md is the catalogue. No function
// takes a key, a ticket or a body, so that none can reach a log.
package logger
