// Package loader reads the settings of a daemon from a TOML file.
//
// Unknown names, missing values and values out of range are refused, each with
// file, name and reason; all problems are reported together.
package loader
