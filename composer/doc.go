// Package composer describes the configuration that operators write.
//
// A program builds a Config, checks it and prints it as TOML; equal
// configurations print the same bytes. Instances parse that text. All names are
// in snake case, at most 64 bytes, and unique within their kind.
package composer
