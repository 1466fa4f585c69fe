// Package commander is the logic of the operators' command line.
//
// Run parses the arguments, talks to the instances and returns the exit code.
// What a program may read goes to Out; progress, warnings and errors go to Err.
package commander
