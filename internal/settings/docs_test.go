package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// defaultsByKey adds each dotted key below v to keys, with its default in the notation of
// docs/CONFIGURATION.md.
func defaultsByKey(prefix string, v reflect.Value, keys map[string]string) {
	for i := range v.NumField() {
		key := prefix + v.Type().Field(i).Tag.Get("toml")
		field := v.Field(i)
		switch value := field.Interface().(type) {
		case Duration:
			keys[key] = value.Std().String()
		case map[string]Duration:
			keys[key] = "{}"
		case []string:
			keys[key] = "[]"
		case string:
			keys[key] = value
			if value == "" {
				keys[key] = `""`
			}
		default:
			if field.Kind() == reflect.Struct {
				defaultsByKey(key+".", field, keys)
				continue
			}
			keys[key] = fmt.Sprint(value)
		}
	}
}

// docs/CONFIGURATION.md must list exactly the keys that the code reads, with their defaults.
func TestDocumentationListsAllKeysWithDefaults(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	is.NoErr(err)
	keys := map[string]string{}
	defaultsByKey("", reflect.ValueOf(Default()), keys)
	listed := 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || !strings.HasPrefix(line, "| `") {
			continue
		}
		listed++
		key := strings.Trim(cells[1], " `")
		want, ok := keys[key]
		if !ok {
			t.Errorf("the page lists the key %s, which does not exist", key)
			continue
		}
		got := strings.Trim(cells[3], " `")
		if got != want && !(got == "required" && want == `""`) {
			t.Errorf("%s: the default is %s on the page and %s in the code", key, got, want)
		}
	}
	is.Equal(listed, len(keys))
}

func TestExampleIsValid(t *testing.T) {
	_, err := Load("../../foxhall.example.toml")
	is.New(t).NoErr(err)
}
