// Package chunker splits a text into chunks that are named by their digests, and joins them again.
//
// Chunks end at ends of lines that the content chooses, so that a change of the
// text changes the chunks around it and no others. A Manifest names the chunks in
// order. A list of names that is too long for a manifest is itself split in the
// same way, so that a change costs a few chunks whatever the size of the text.
// The package does no I/O; equal texts have equal chunks and manifests.
package chunker
