// Package forwarder forwards HTTP/1.1 requests to targets and to peers.
//
// Guarantees:
//
//   - A request is written at most once, to one connection. The package never
//     resends a request, unlike net/http.Transport on reused connections.
//   - Every failure is a *Failure. It states NotRun only if no byte of the request
//     was handed to the operating system, or if the Protocol classifies the
//     response as Shed; in the default protocol that is a 503 with the header
//     Celeryhead-Ran: not-run. Every other failure states Unknown.
//   - Call.Before is called just before the first byte is written. If it returns
//     an error, nothing is written.
//   - The deadline bounds the wait for a connection, the dial and the request; the
//     deadline plus Call.Patience bounds the whole response. Cancellation of the
//     context closes the connection.
//   - A connection is reused only if the request was written completely, the
//     response was read completely, and no unread byte is left. A response
//     therefore always belongs to the request of its own exchange.
//   - The default protocol rejects a response with neither a length nor chunked
//     encoding as Unknown, because its end cannot be distinguished from a broken
//     connection.
//   - If a Protocol accepts such a response, it is complete when the server has
//     ended the connection. It is not if the connection was reset before, even if
//     only the request that was still being written met the reset.
//
// Unresponsive connections: an idle connection is reused for at most IdleLimit.
// If an exchange ends at its deadline without a byte of response, or is canceled
// after UnresponsiveAfter without one, every connection to that address opened
// before is retired: closed if idle, otherwise closed after its exchange. All
// later exchanges use new connections, so recovery takes one dial, at most
// DialTimeout.
//
// A connection whose server acknowledges no byte for AckTimeout is unresponsive
// too, but not broken: it says nothing about a crash.
//
// The body of a request may still be read after Do or Copy has returned early.
// The caller's own read deadline ends that read.
package forwarder
