// Package replicator keeps copies of tables of the platform's store.
//
// A copy follows its table by long polls. While the store does not answer, or a
// peer is known to have newer rows, the copy is brought up to date from a peer,
// which serves the rows of its own copy. Rows carry the version that the store
// gave them; an older version never replaces a newer one, whatever its source.
//
// A removed row stays in the copy as a tombstone for TombstoneLife, so that a
// peer that is behind learns of the removal. A copy knows the version from which
// on it holds each change; a peer below it gets the whole table, without the
// values of the rows that it has.
//
// Instances tell each other the version of their copies and a digest of the
// rows. Copies of one version have the same rows; if they do not, the table is
// read whole from the store.
package replicator
