// Package operator makes configuration changes for operators.
//
// A change is one transaction on the store: it checks the version of the heads
// row and the absence of the operation's row, and writes the configuration, an
// audit row, the operation's row and the heads row. So a change is applied once,
// however often its transaction is repeated, and two changes against the same
// version cannot both be applied. Changes of the heads row that concern
// assignments or shifts do not disturb a configuration change.
//
// The caller must hold a proof of freshness of the fleet scope before it calls
// Apply or Rollback.
package operator
