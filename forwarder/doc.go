// Package forwarder forwards HTTP/1.1 requests to targets and to peers.
//
// Contract:
//
//   - A request is written at most once, to one connection. The package never
//     sends a request again; net/http.Transport does so on reused connections.
//   - Every failure is a *Failure. It says NotRun only when no byte of the request
//     was handed to the operating system, or when the server answered 503 with the
//     header Celeryhead-Ran: not-run. Everything else is Unknown.
//   - Call.Before runs just before the first byte is written; after an error from
//     it nothing is written.
//   - The deadline bounds the wait for a connection, the dial, the request and
//     the whole answer. Cancellation of the context closes the connection.
//   - A connection is reused only after the request was written completely, the
//     answer was read completely, and no unread byte is left. An answer therefore
//     always belongs to the request of its own exchange.
//   - An answer whose end cannot be told from a broken connection (neither a
//     length nor chunked) is refused as Unknown.
//
// Silent connections: an idle connection is reused for at most IdleLimit. When an
// exchange ends at its deadline without a byte of answer, or is canceled after
// SilentAfter without one, every connection to that address that was opened
// before is retired: closed if idle, otherwise closed after its exchange. From
// then on every exchange runs on a new connection, so the recovery takes one dial,
// at most DialTimeout.
//
// The body of a request may still be read after Do or Copy returned early. The
// caller's own read deadline ends that read.
package forwarder
