package collector

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/chunker"
)

// Defaults of Config.
const (
	// DefaultCacheBytes lets each generation of the cache hold the whole text at the target size, 11 MB.
	DefaultCacheBytes = 24 << 20
	// DefaultCallTimeout is several times the longest round trip; a batch arrives within it at 4 Mbit/s.
	DefaultCallTimeout = time.Second
)

// Bounds of one call.
const (
	// BatchNames bounds the chunks that are asked for in one call; they are 512 KB on average.
	BatchNames = 128
	// BatchBytes bounds the chunks of one answer; a single chunk may be larger.
	BatchBytes = 512 << 10
)

// Errors of this package.
var (
	// ErrWrong is the error of a source whose chunk or manifest does not match its digest.
	ErrWrong = merry.Sentinel("content does not match its digest")
	// ErrLacking is the error of a source that has none of the chunks that it was asked for.
	ErrLacking = merry.Sentinel("source lacks the chunks")
	// ErrIncomplete is the error of a collection that ran out of sources; it carries their errors.
	ErrIncomplete = merry.Sentinel("no source has all chunks")
)

// Source gives versions of a text, in chunks.
type Source interface {
	// Name is for errors.
	Name() string
	// Manifest returns the encoded manifest of a version.
	Manifest(ctx context.Context, version uint64) ([]byte, error)
	// Chunks returns those that the source has among names, up to a bound; names has at most BatchNames entries.
	Chunks(ctx context.Context, names []chunker.Name) ([][]byte, error)
}

// Text says which text is wanted.
type Text struct {
	Version uint64
	// Digest is the SHA-256 digest of the text; it is not checked if it is zero.
	Digest chunker.Name
	// Held returns chunks that the caller has; it may be nil.
	Held func(chunker.Name) ([]byte, bool)
}

// Config configures a Collector; zero fields take their defaults.
type Config struct {
	CacheBytes  int
	CallTimeout time.Duration
	// Wrong is called for each source that gave wrong content; it may be nil.
	Wrong func(source string, err error)
}

// Collector gathers texts; it is safe for concurrent use.
type Collector struct {
	config Config
	cache  cache
}

// New returns a Collector.
func New(c Config) *Collector {
	if c.CacheBytes == 0 {
		c.CacheBytes = DefaultCacheBytes
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.Wrong == nil {
		c.Wrong = func(string, error) {}
	}
	return &Collector{config: c, cache: cache{limit: c.CacheBytes}}
}

// Forget drops the chunks that were kept; the caller does so once it holds the text.
func (c *Collector) Forget() {
	c.cache.clear()
}

// Collect returns a text from the first sources that have it. Errors: ErrIncomplete.
func (c *Collector) Collect(ctx context.Context, w Text, sources ...Source) (*chunker.Tree, error) {
	j := &job{collector: c, want: w, gathered: map[chunker.Name][]byte{}, errs: map[string]error{}}
	for i, s := range sources {
		t, err := j.from(ctx, s, sources[i:])
		if err == nil {
			return t, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, j.failure()
}

// job is one collection.
type job struct {
	collector *Collector
	want      Text
	// gathered keeps chunks that the cache may drop before the text is complete.
	gathered map[chunker.Name][]byte
	// errs holds the last error of each source.
	errs map[string]error
}

// failure carries the last error of each source, also in its message.
func (j *job) failure() error {
	var errs []error
	err := merry.Wrap(ErrIncomplete)
	for _, n := range slices.Sorted(maps.Keys(j.errs)) {
		errs = append(errs, j.errs[n])
		err = merry.Append(err, j.errs[n].Error())
	}
	return merry.Wrap(err, merry.WithCause(errors.Join(errs...)))
}

// from collects the text by the manifest of s.
func (j *job) from(ctx context.Context, s Source, sources []Source) (*chunker.Tree, error) {
	m, err := j.manifest(ctx, s)
	if err != nil {
		return nil, j.note(s, err)
	}
	// A source that lacks some chunks may have others, so it is asked again after the rest.
	sources = slices.Clone(sources)
	lacked := 0
	for {
		names, err := m.Missing(j.get)
		if err != nil {
			return nil, j.note(s, merry.Wrap(ErrWrong, merry.WithCause(err)))
		}
		if len(names) == 0 {
			break
		}
		if lacked == len(sources) {
			return nil, ErrLacking
		}
		err = j.fetch(ctx, sources[0], names[:min(len(names), BatchNames)])
		switch {
		case err == nil:
			lacked = 0
		case errors.Is(err, ErrLacking):
			_ = j.note(sources[0], err)
			lacked++
			sources = append(sources[1:], sources[0])
		default:
			_ = j.note(sources[0], err)
			sources = sources[1:]
		}
	}
	t, err := chunker.Join(m, j.get)
	if err != nil {
		return nil, j.note(s, merry.Wrap(ErrWrong, merry.WithCause(err)))
	}
	return t, nil
}

func (j *job) note(s Source, err error) error {
	err = merry.Prepend(err, s.Name())
	j.errs[s.Name()] = err
	if errors.Is(err, ErrWrong) {
		j.collector.config.Wrong(s.Name(), err)
	}
	return err
}

func (j *job) manifest(ctx context.Context, s Source) (chunker.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, j.collector.config.CallTimeout)
	defer cancel()
	b, err := s.Manifest(ctx, j.want.Version)
	if err != nil {
		return chunker.Manifest{}, err
	}
	m, err := chunker.DecodeManifest(b)
	if err != nil {
		return m, merry.Wrap(ErrWrong, merry.WithCause(err))
	}
	if d := j.want.Digest; d != (chunker.Name{}) && m.TextDigest != d {
		return m, merry.Append(ErrWrong, "manifest of another text")
	}
	return m, nil
}

// fetch gathers at least one of the chunks, or fails.
func (j *job) fetch(ctx context.Context, s Source, names []chunker.Name) error {
	ctx, cancel := context.WithTimeout(ctx, j.collector.config.CallTimeout)
	defer cancel()
	l, err := s.Chunks(ctx, names)
	if err != nil {
		return err
	}
	if len(l) == 0 {
		return merry.Wrap(ErrLacking)
	}
	asked := make(map[chunker.Name]bool, len(names))
	for _, n := range names {
		asked[n] = true
	}
	for _, b := range l {
		n := chunker.NameOf(b)
		if !asked[n] || len(b) > chunker.MaxChunk {
			return merry.Append(ErrWrong, "chunk that was not asked for")
		}
		j.gathered[n] = b
		j.collector.cache.put(n, b)
	}
	return nil
}

func (j *job) get(n chunker.Name) ([]byte, bool) {
	if b, ok := j.gathered[n]; ok {
		return b, true
	}
	if j.want.Held != nil {
		if b, ok := j.want.Held(n); ok {
			return b, true
		}
	}
	b, ok := j.collector.cache.get(n)
	if ok {
		// Chunks that this collection fetches may push it out before it is used.
		j.gathered[n] = b
	}
	return b, ok
}
