package collector

import (
	"context"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// store gives the versions that are in the store.
type store struct {
	table storer.Store
	// whole is a version whose row holds its text, as all did before manifests were written.
	whole *chunker.Tree
}

// FromStore returns a Source for one collection; it returns ErrLacking for a version that is not in the store.
func FromStore(s storer.Store) Source {
	return &store{table: s}
}

// Name implements Source.
func (s *store) Name() string {
	return "store"
}

// Manifest implements Source.
func (s *store) Manifest(ctx context.Context, version uint64) ([]byte, error) {
	rows, err := s.table.Read(ctx, recorder.ManifestKey(version), recorder.ConfigKey(version))
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, ErrLacking
	}
	if rows[0].Key == recorder.ManifestKey(version) {
		return rows[0].Value, nil
	}
	s.whole = chunker.New(rows[0].Value, chunker.DefaultSizes)
	return s.whole.Manifest.Encode()
}

// Chunks implements Source; an answer of the store is bounded by BatchNames and the largest chunk.
func (s *store) Chunks(ctx context.Context, names []chunker.Name) ([][]byte, error) {
	if s.whole != nil {
		return Pick(names, s.whole.Chunk), nil
	}
	keys := make([]string, 0, len(names))
	for _, n := range names {
		keys = append(keys, recorder.ChunkKey(n))
	}
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	out := make([][]byte, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.Value)
	}
	return out, nil
}

// Pick returns the chunks that get has, in order, up to BatchBytes; the first one may be larger.
func Pick(names []chunker.Name, get func(chunker.Name) ([]byte, bool)) [][]byte {
	var out [][]byte
	size := 0
	for _, n := range names {
		b, ok := get(n)
		if !ok {
			continue
		}
		if size += len(b); size > BatchBytes && len(out) > 0 {
			break
		}
		out = append(out, b)
	}
	return out
}
