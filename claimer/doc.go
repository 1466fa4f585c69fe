// Package claimer lets a non-idempotent request run at most once.
//
// A request with an Idempotency-Key chosen by the caller runs only after a claim
// row for its account, route and key was inserted into the store, in a conditional
// transaction. The claim is never taken over: the sending that inserted the row is
// the only one that may run, until its deadline, which is checked again just before
// the effect and enforced by the target. Claims of concurrent requests share
// transactions; a claim that another holds does not fail the others.
//
// # Claim owners
//
// In a fleet of more than 7 members the transactions of all instances would exceed what
// the store takes. There Owners chooses 7 claim owners, which write the claims of the
// others. For the sender an owner is a way to the store and no more: the message carries
// the row and the version that it replaces, the owner adds the write to one of its
// transactions or refuses it, and answers what the store said, which the sender judges
// itself. A message whose answer is missing is a transaction with an unknown effect, and
// is handled like one: the sender reads the row and writes it itself, with the same claim
// id. A message that arrives late or twice, also one that was refused, meets a version
// that has passed, or writes the row of a claim that its sender abandons. An owner keeps
// what it accepted for three quarters of a second; owners that are full refuse, and the
// sender writes at most one transaction a second. While the owner of a range is silent,
// the next ones in order get its claims.
//
// # Unknown effects
//
// An insert whose reply was lost is repeated with the same claim id. If the row
// then carries that id, the insert was effective. A transaction with an unknown
// effect may also be applied later; therefore a claim row is not deleted but
// replaced by an abandoned one, and each write is conditional on the row's version,
// which a late insert no longer meets. Rows are deleted 24 h after the deadline of
// their request; a commit that is applied even later, and a resend after that time,
// are not guarded against.
//
// # What a resend sees
//
// After the verdict Unavailable the sending has not run and never will, but its row
// may exist or appear later. The instance goes on in the background, for 10 min, to
// replace the row by an abandoned one. A resend sees
//
//   - no row or an abandoned one: it claims the key and may run;
//   - the claim, before its deadline: in_progress (409, ran unknown, Retry-After);
//   - the claim, after its deadline, if the instance has died or the store has not
//     answered it since: outcome_unknown (409, ran unknown). This says less than the
//     dead instance knew, but nothing false.
//
// After a run a resend sees the stored answer, or, if the body exceeded 64 KiB or the
// headers 8 KiB, or too many outcomes waited for the store, completed_without_body
// (410, ran "ran"); or the two answers above until the outcome is stored. Another
// request digest under the same key is refused (422, not run).
//
// # Tickets
//
// A ticket is an Idempotency-Key that an instance issued; it starts with "ct1." and
// names account, instance, incarnation, expiry (2 min) and a nonce, authenticated by
// HMAC-SHA256, cut to 128 bits, under a secret of the incarnation. It is used at that
// incarnation only, without the store: other instances find it by Locate and forward
// the request. A used ticket is remembered until it expires, or until the deadline of
// its request if that is later. When its incarnation is gone, or it is no longer remembered, the outcome is
// unknown. A used ticket is never forgotten to make room: when the memory is full, or
// the account's share of it, another ticket is refused as not run.
//
// "Not run" speaks of one sending. A caller that got no answer to an earlier sending
// of the key must keep the key, and must not go over to a ticket or to another key.
package claimer
