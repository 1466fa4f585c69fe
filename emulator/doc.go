// Package emulator holds stand-ins for the platform's services and for targets.
//
// A stand-in speaks the published protocol of the service, keeps its state in
// memory and shows the faults that the service is known for when told to: Table
// and Memory are the table service, over HTTP and within a process, Objects is
// the object store, List the list of instances, and Target a target.
package emulator
