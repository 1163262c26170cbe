package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `instance = "sul-1"
data_centre = "sul-a"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
[store]
url = "http://127.0.0.1:9000"
[peers]
secret = "0123456789abcdef"
`

func TestParse(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"valid", valid, ""},
		{"unknown key", valid + "secrets = 1\n", "f.toml:10: peers.secrets: expected a known key"},
		{"bad address", strings.Replace(valid, "127.0.0.1:8080", "localhost:8080", 1), "f.toml:4: listen.callers: expected an IP address"},
		{"bad type", strings.Replace(valid, `"sul-1"`, "7", 1), "f.toml:1: instance"},
		{"bad duration", valid + "timeout = \"soon\"\n", "f.toml:10"},
		{"short secret", strings.Replace(valid, "0123456789abcdef", "short", 1), "f.toml:9: peers.secret: expected at least 16"},
		{"missing", strings.Replace(valid, "instance = \"sul-1\"\n", "", 1), "f.toml: instance: expected"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f.toml", []byte(test.text))
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			t.Log(err)
			is.True(strings.HasPrefix(err.Error(), test.want))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[listen\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f.toml", text)
		if err == nil && s.check() != nil {
			t.Fatal("accepted settings that do not pass their own check")
		}
	})
}
