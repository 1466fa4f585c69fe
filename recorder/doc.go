// Package recorder defines the rows that instances keep in the platform's store.
//
// The heads row identifies the current configuration and contains the assignments; every
// update checks the version of the row. The members of an assignment are stored in a
// separate list, which the heads row references by digest, or inline in the heads row as
// long as daemons of an earlier version may read it. Decoding is strict: an instance must
// not write a row back without a field that it does not know.
package recorder
