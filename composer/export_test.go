package composer

import "github.com/pelletier/go-toml/v2"

// ParseWhole is Parse without the reading of blocks one by one.
var ParseWhole = parseWhole

// DiffWhole is Diff with the blocks that both configurations have in common.
var DiffWhole = diff

// EncodeWhole is Encode in one call of the encoder.
func EncodeWhole(c Config) ([]byte, error) {
	c = c.Canonical()
	return toml.Marshal(struct {
		headText
		blocksText
		tailText
	}{headTextOf(c), blocksText{Blocks: each(c.Blocks, blockTextOf)}, tailTextOf(c)})
}
