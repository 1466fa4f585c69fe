// Package admitter keeps the connections of an instance's listeners within budgets of memory and descriptors.
//
// Budget decides, without I/O and with the time passed in. A share of it is reserved before bytes are held. Without room the
// holders that come first in the order of Budget are closed; a holder that comes first itself is refused. Listener applies a
// Budget to a net.Listener and to the http.Server on it.
package admitter
