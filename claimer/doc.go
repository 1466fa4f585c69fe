// Package claimer ensures that a non-idempotent request runs at most once.
//
// A request whose Idempotency-Key was chosen by the caller runs only after a conditional
// transaction has inserted a claim row for its account, route and key into the store. A
// claim is never taken over: only the attempt that inserted the row may run, and only
// until its deadline, which is checked again immediately before the effect and enforced
// by the target. Concurrent claims share transactions; a claim that is held by another
// attempt does not fail the others in its transaction.
//
// # Claim owners
//
// In a fleet of more than 7 members, separate transactions of all instances would exceed
// the capacity of the store. Owners then selects 7 claim owners, which write the claims of
// the other instances. An owner only provides access to the store. The sender's message
// contains the row and the version to be replaced. The owner either refuses the write or
// includes it in one of its transactions, and returns the result from the store, which the
// sender evaluates itself. A message without a reply is treated like a transaction with an
// unknown effect: the sender reads the row and writes it itself, with the same claim ID. A
// message that is delivered late or twice, or after it was refused, either fails its
// version check or writes the row of a claim that its sender then abandons. An owner keeps
// an accepted write for three quarters of a second. If owners are out of capacity they
// refuse, and the sender writes at most one transaction per second. While the owner of a
// key range is unresponsive, the next owners in order replace it.
//
// # Unknown effects
//
// An insert whose reply was lost is repeated with the same claim ID. If the row then has
// that ID, the insert was applied. A transaction with an unknown effect may also be applied
// later. Therefore claim rows are not deleted but replaced by abandoned ones, and each
// write checks the version of the row, so that a late insert fails. Rows are deleted 24 h
// after the deadline of their request. Commits that are applied even later, and resends
// after that time, are not guarded against.
//
// # Resends
//
// After the verdict Unavailable the attempt has not run and never will, but its row may
// exist or appear later. For up to 10 min the instance continues in the background to
// replace the row by an abandoned one. A resend finds one of the following:
//
//   - no row or an abandoned one: it claims the key and may run;
//   - the claim, before its deadline: in_progress (409, ran unknown, Retry-After);
//   - the claim, after its deadline, if the instance has died or has not reached the
//     store since: outcome_unknown (409, ran unknown). The instance may have known that
//     the request did not run, so this answer is less precise, but it is not wrong.
//
// After the request has run, a resend gets the stored response. If the body exceeded
// 64 KiB or the headers 8 KiB, or too many outcomes were waiting for the store, it gets
// completed_without_body (410, ran "ran"). Until the outcome is stored it gets one of the
// last two answers above. A different request digest under the same key is refused (422,
// not run).
//
// # Tickets
//
// A ticket is an Idempotency-Key issued by an instance. It starts with "ct1." and contains
// the account, the instance, the incarnation, the expiry (2 min) and a nonce. It is
// authenticated by HMAC-SHA-256, truncated to 128 bits, with a secret of the incarnation. A
// ticket is used only at that incarnation and without the store; other instances determine
// the incarnation with Locate and forward the request. The record of a used ticket is kept
// until the ticket expires or until the deadline of its request, whichever is later. If the
// incarnation has ended or the record has been removed, the outcome is unknown. Records are
// never evicted to free memory: when the memory or the account's share of it is exhausted,
// further tickets are refused as not run.
//
// "Not run" applies to a single attempt. A caller that got no answer to an earlier attempt
// must keep its key and must not switch to a ticket or to another key.
package claimer
