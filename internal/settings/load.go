package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Error describes a missing or invalid key of a settings file.
type Error struct {
	File string
	// Line counts from 1; 0 means that the file does not set the key.
	Line int
	// Key is the dotted key.
	Key      string
	Expected string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s: expected %s", e.File, e.Key, e.Expected)
	}
	return fmt.Sprintf("%s:%d: %s: expected %s", e.File, e.Line, e.Key, e.Expected)
}

// Load reads and validates a settings file. The error has one line for each invalid key found.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(file, text)
}

// Parse decodes and validates the text of a settings file. The name file appears in errors.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&s)
	if err != nil {
		return Settings{}, decodeError(file, err)
	}
	errs := s.check()
	if len(errs) == 0 {
		return s, nil
	}
	lines := keyLines(text)
	messages := make([]string, 0, len(errs))
	for _, e := range errs {
		e.File = file
		e.Line = lines[e.Key]
		messages = append(messages, e.Error())
	}
	return Settings{}, errors.New(strings.Join(messages, "\n"))
}

func decodeError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownKeysError(file, strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		return errors.Errorf("%s:%d: %s: %s", file, line, key, decode.Error())
	}
	return errors.Wrap(err, file)
}

func unknownKeysError(file string, strict *toml.StrictMissingError) error {
	messages := make([]string, 0, len(strict.Errors))
	for _, e := range strict.Errors {
		line, _ := e.Position()
		unknownKey := Error{File: file, Line: line, Key: strings.Join(e.Key(), "."), Expected: "a known key (see docs/CONFIGURATION.md)"}
		messages = append(messages, unknownKey.Error())
	}
	return errors.New(strings.Join(messages, "\n"))
}

// keyLines returns the line of each dotted key. The text must be well-formed TOML.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	table := ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		node := parser.Expression()
		name, line := keyAndLine(&parser, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = name + "."
		case unstable.KeyValue:
			lines[table+name] = line
		}
	}
	return lines
}

// keyAndLine returns the dotted key of a table or key-value expression and its line.
func keyAndLine(parser *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		key := it.Node()
		parts = append(parts, string(key.Data))
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}
