package composer_test

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/composer"
)

// oddLines are accepted at some places of a text only, or nowhere.
var oddLines = []string{
	"", "[[blocks]]", "  [[ blocks ]]", "[[\"blocks\"]] # same", "[blocks]", "[blocks.x]", "[[blocks.x]]", "blocks = []", "blocks.x = 1", "[[shifts]]",
	"[lookup]", "x = 1", "x = [", "]", "x = '''", "'''", "x = \"\"\"", "\"\"\"", "# [[blocks]]", "# \x01", "# \xff", "\r", "prefix = '10.9.0.0/16'",
	"Prefix = '10.9.0.0/16'", "prefix = \"10.9.0.0\\u002f16\"", "'prefix' = 'x'", "prefix.x = 1", "prefix = 10", "region = 'west'", "region = ''",
	"region = 1", "region = '\xff'", "weight = 2", "weight = 1_0.5", "weight = 01.5", "weight = 1.", "weight = .5", "weight = 1e3", "weight = 1.5e3",
	"weight = inf", "weight = -inf", "weight = infinity", "weight = 0x1p-2", "weight = 0x1.0", "weight = +1.5", "weight = 1e400", "weight = 1.0e+400", "weight = nan", "weight = -0.0", "weight = 1.0 # [[blocks]]", "weight = '1.0'", "weight = 9999999999999999999999.0",
	"blocks = [{prefix = '10.9.0.0/16'}]", "\ufeff", "weight = 1.0 weight = 1.0",
}

// Guards against a text that is accepted, refused or understood otherwise because its blocks are read one by one.
func TestParseBlocksAsWhole(t *testing.T) {
	text, err := composer.Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	blocks := text[strings.Index(string(text), "[[blocks]]"):]
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		lines := strings.Split(string(rapid.SampledFrom([][]byte{text, blocks}).Draw(t, "text")), "\n")
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
			switch rapid.IntRange(0, 3).Draw(t, "edit") {
			case 0:
				lines = append(lines[:i:i], lines[i+1:]...)
			case 1:
				lines[i] = rapid.SampledFrom(oddLines).Draw(t, "odd")
			case 2:
				lines = append(lines[:i:i], append([]string{rapid.SampledFrom(oddLines).Draw(t, "odd")}, lines[i:]...)...)
			default:
				j := rapid.IntRange(0, len(lines)-1).Draw(t, "other")
				lines[i], lines[j] = lines[j], lines[i]
			}
			if len(lines) == 0 {
				lines = []string{""}
			}
		}
		if sameAsWhole(t, []byte(strings.Join(lines, "\n"))) {
			accepted++
		}
	})
	if accepted == 0 {
		t.Error("no text was accepted")
	}
}

type failer interface {
	Fatalf(format string, args ...any)
}

// sameAsWhole reports whether a text is accepted.
func sameAsWhole(t failer, text []byte) bool {
	got, err := composer.Parse(text)
	want, wantErr := composer.ParseWhole(text)
	if !reflect.DeepEqual(err, wantErr) || !reflect.DeepEqual(got, want) {
		t.Fatalf("%q:\n%+v, %v, want\n%+v, %v", text, got, err, want, wantErr)
	}
	return err == nil
}

// Guards against a text or a list of changes that differs because blocks are encoded in parts and those in common left out.
func TestEncodeAndDiffBlocksAsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t), drawConfig(t)
		got, err := composer.Encode(a)
		want, wantErr := composer.EncodeWhole(a)
		if err != nil || wantErr != nil || string(got) != string(want) {
			t.Fatalf("%v, %v:\n%s\nwant:\n%s", err, wantErr, got, want)
		}
		if got, want := composer.Diff(a, b), composer.DiffWhole(a, b); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\nwant:\n%v", got, want)
		}
	})
}

// drawConfig draws a configuration that may lack any of its parts, some with more blocks than are encoded at once.
func drawConfig(t *rapid.T) composer.Config {
	c := sample()
	parts := reflect.ValueOf(&c).Elem()
	for i := 1; i < parts.NumField(); i++ {
		if rapid.IntRange(0, 3).Draw(t, "empty") == 0 {
			parts.Field(i).SetZero()
		}
	}
	n := rapid.SampledFrom([]int{0, 1, 2, 5, 1022, 1024, 2100}).Draw(t, "blocks")
	odd := rapid.IntRange(1, 9).Draw(t, "odd")
	for i := range n {
		a := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 24+i%9).Masked(), Region: "west", Weight: float64(i % odd)})
	}
	rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Shuffle(len(c.Blocks), reflect.Swapper(c.Blocks))
	return c
}

// blockMemory is what a block may take in bytes while it is read: 64 MB for 160,000 blocks, of which old and new
// configuration with their texts and tables take 400 (docs/CAPACITY.md 3.6) if nothing is left for anything else.
const blockMemory = 400

// Guards against a text of the target size whose reading alone takes the memory of a daemon.
func TestParseMemory(t *testing.T) {
	_, text := manyBlocks(t, 16_000)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	c, err := composer.Parse(text)
	if err != nil || c.Check() != nil {
		t.Fatal(err, c.Check())
	}
	runtime.ReadMemStats(&after)
	if n := (after.TotalAlloc - before.TotalAlloc) / 16_000; n > blockMemory {
		t.Errorf("Parse and Check allocate %d B for each block, want at most %d", n, blockMemory)
	}
}
