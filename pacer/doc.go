// Package pacer bounds calls by the progress of their answers.
//
// A call with a fixed time limit never succeeds if its answer takes longer to
// arrive than the limit, and a repetition starts from the beginning. Here a call
// has a time until its answer begins; from then on it may last as long as bytes
// arrive at some rate and without a long pause.
package pacer
