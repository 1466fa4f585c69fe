package operator

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// version is the row of a configuration version.
type version struct {
	number uint64
	// manifest is nil if the row holds the whole text, as all did before manifests were written.
	manifest *chunker.Manifest
	text     []byte
}

// keysOf returns the keys under which the row of a version may be.
func keysOf(number uint64) []string {
	return []string{recorder.ManifestKey(number), recorder.ConfigKey(number)}
}

// versionIn returns a version from the rows of keysOf, or nil. Errors: recorder.ErrCorrupt.
func versionIn(rows map[string]storer.Row, number uint64) (*version, error) {
	if r := rows[recorder.ManifestKey(number)]; r.Version != 0 {
		m, err := chunker.DecodeManifest(r.Value)
		if err != nil {
			return nil, merry.Wrap(recorder.ErrCorrupt, merry.WithCause(err))
		}
		return &version{number: number, manifest: &m}, nil
	}
	if r := rows[recorder.ConfigKey(number)]; r.Version != 0 {
		return &version{number: number, text: r.Value}, nil
	}
	return nil, nil //nolint:nilnil // Documented.
}

func (v *version) digest() chunker.Name {
	if v.manifest == nil {
		return chunker.NameOf(v.text)
	}
	return v.manifest.TextDigest
}

// stored reads the row of a version; it is nil if there is none. Errors: recorder.ErrCorrupt and those of the store.
func (o *Operator) stored(ctx context.Context, number uint64) (*version, error) {
	rows, err := o.read(ctx, keysOf(number)...)
	if err != nil {
		return nil, err
	}
	return versionIn(rows, number)
}

// tree returns the text of a version. Errors: recorder.ErrCorrupt if chunks are wrong or absent, and those of the store.
func (o *Operator) tree(ctx context.Context, v *version) (*chunker.Tree, error) {
	if v.manifest == nil {
		return chunker.New(v.text, chunker.DefaultSizes), nil
	}
	w := collector.Text{Version: v.number, Digest: v.manifest.TextDigest, Held: o.config.Held}
	t, err := o.config.Collector.Collect(ctx, w, collector.FromStore(o.config.Store))
	if errors.Is(err, collector.ErrLacking) || errors.Is(err, collector.ErrWrong) {
		return nil, merry.Wrap(recorder.ErrCorrupt, merry.WithCause(err))
	}
	return t, err
}

// readError keeps the errors of corrupt rows apart from those of a store that does not answer.
func readError(err error) error {
	if errors.Is(err, recorder.ErrCorrupt) {
		return err
	}
	return merry.Wrap(ErrStoreDown, merry.WithCause(err))
}
