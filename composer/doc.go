// Package composer describes the configuration that operators write.
//
// A program builds a Config, checks it and prints it as TOML; equal
// configurations print the same bytes, whatever the order of their entries.
// Instances parse that text. Parse judges the form of the text, Check the
// meaning of a configuration; both report every problem that they find.
//
// Names consist of lower-case letters, digits, '_' and '-', begin with a letter
// or digit, have at most 64 bytes, and are unique within their kind (failure
// domains and targets: within the whole configuration; keys: within their
// account). Names of accounts and keys have no '_', because it separates the
// parts of a secret key.
package composer
