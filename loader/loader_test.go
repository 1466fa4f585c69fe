package loader_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/loader"
)

const valid = `
name = "almaty-1"
region = "almaty"
failure_domain = "almaty-a"
[listeners]
callers = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
operators = "127.0.0.1:8083"
metrics = "127.0.0.1:8084"
[tls]
authority = "ca.pem"
certificate = "cert.pem"
key = "key.pem"
[platform]
store = ["127.0.0.1:7000"]
list = ["127.0.0.1:7001"]
`

// Guards against settings that are accepted but not applied.
func TestParse(t *testing.T) {
	s, err := loader.Parse([]byte(valid + "[timing]\nfreshness = \"4s\"\n[peer_addresses]\nastana-1 = \"192.0.2.7:8443\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "almaty-1" || s.Timing.Freshness != 4*time.Second || s.Listeners.Peers.Port() != 8082 || s.Limits.Queue != 256 || s.PeerAddresses["astana-1"].Port() != 8443 {
		t.Fatalf("settings = %+v", s)
	}
}

// Guards against errors that do not name the setting, and against misspelt names that are ignored.
func TestBadSettingsAreNamed(t *testing.T) {
	cases := []struct{ old, with, want string }{
		{`name = "almaty-1"`, `nam = "almaty-1"`, "nam: unknown setting"},
		{`name = "almaty-1"`, `name = "Almaty 1"`, "name: may hold only"},
		{`region = "almaty"`, ``, "region: is missing"},
		{`callers = "127.0.0.1:8081"`, `callers = "localhost:8081"`, "listeners.callers: must be an IP address"},
		{`callers = "127.0.0.1:8081"`, `callers = "127.0.0.1:8082"`, "listeners: 127.0.0.1:8082 is used twice"},
		{`callers = "127.0.0.1:8081"`, `callers = 8081`, "line 6"},
		{`key = "key.pem"`, ``, "tls.key: is missing"},
		{`key = "key.pem"`, `key = "key.pem"` + "\ncallers_key = \"x\"", "tls.callers_certificate"},
		{`list = ["127.0.0.1:7001"]`, `list = []`, "platform.list: is missing"},
		{`[platform]`, "[timing]\nfreshness = \"900ms\"\n[platform]", "timing.freshness: must be at least two heartbeats"},
		{`[platform]`, "[timing]\nheartbeat = \"soon\"\n[platform]", "timing.heartbeat: must be a positive duration"},
		{`[platform]`, "[limits]\nqueue = 0\n[platform]", "limits.queue"},
		{`[platform]`, "[limits]\naccount_histograms = -1\n[platform]", "limits.account_histograms: must not be negative"},
		{`[platform]`, "[log]\nlevel = \"loud\"\n[platform]", "log.level"},
		{`[platform]`, "[peer_addresses]\nastana-1 = \"astana:1\"\n[platform]", "peer_addresses.astana-1: must be an IP address"},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			_, err := loader.Parse([]byte(strings.Replace(valid, c.old, c.with, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error = %v", err)
			}
		})
	}
}

// Guards against an error that does not name the file.
func TestLoadNamesTheFile(t *testing.T) {
	p := filepath.Join(t.TempDir(), "almaty.toml")
	if err := os.WriteFile(p, []byte("x = 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := loader.Load(p); err == nil || !strings.Contains(err.Error(), p) {
		t.Fatalf("error = %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[timing]\nfreshness = 1"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := loader.Parse(b)
		if err == nil && (!s.Listeners.Callers.IsValid() || s.Timing.Freshness <= 0 || s.TLS.Key == "") {
			t.Fatalf("invalid settings were accepted: %+v", s)
		}
	})
}

// Guards against a page of settings that is refused, lacks a setting, or shows other defaults than those in use.
func TestPageOfSettings(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "docs", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(b), "```toml\n")
	text, _, _ = strings.Cut(text, "```")
	s, err := loader.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if n, want := strings.Count(text, " = "), leaves(reflect.ValueOf(s)); n != want {
		t.Errorf("the page has %d settings, want %d", n, want)
	}
	given, _, _ := strings.Cut(text, "[timing]")
	d, err := loader.Parse([]byte(strings.Replace(given, `store_timeout = "1s"`, "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, d) {
		t.Errorf("the page shows %+v, defaults are %+v", s, d)
	}
}

// leaves counts the settings that are not groups of settings.
func leaves(v reflect.Value) int {
	n := 0
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Struct && f.Type().PkgPath() == v.Type().PkgPath() {
			n += leaves(f)
			continue
		}
		n++
	}
	return n
}
