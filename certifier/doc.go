// Package certifier issues and checks the certificates of instances and operators.
//
// A certificate names its holder in one URI: celeryhead://peer/<instance> or
// celeryhead://operator/<operator>. The peers' listener accepts only peers, the
// operators' listener only operators; both need a certificate of the
// deployment's own authority.
package certifier
