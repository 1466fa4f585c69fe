// Package launcher starts one deployment of separate processes on the loopback
// interface, for the demonstration run and for tests.
//
// The processes are the project's own programs: stand-ins of the platform and
// of targets, and daemons. A Deployment stops only processes that it started.
package launcher
