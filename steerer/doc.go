// Package steerer decides which instances a caller is told to use.
//
// An answer is a pure function of the configuration, the steps of the shifts,
// the instances that may be named and the caller's block, so that instances
// agree without exchanging messages. A Table is immutable and safe for
// concurrent use. Measurements take part only in the decision whether a shift
// may advance; without them it holds.
//
// Tables of one configuration at other steps share everything but the steps, so
// that neither a step nor a decision on it passes over the blocks.
package steerer
