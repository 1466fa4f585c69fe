// Package exemplifier builds the configurations of two deployments as operators write them.
//
// Koshe and EsBatu return the sizes in use today. The programs in examples/
// print them; the smoke run fills in addresses and keys of its own.
package exemplifier
