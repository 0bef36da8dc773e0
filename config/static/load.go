package static

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int    // 0 if the file does not contain the key
	Key  string // JSON key; empty for syntax errors
	Text string
}

// Error implements error.
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", location, p.Text)
	}
	return fmt.Sprintf("%s: %s: %s", location, p.Key, p.Text)
}

// Load reads the settings in file, sets defaults and validates them. The error
// joins one Problem for every error found.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse is like Load for settings in memory. file is the name used in messages.
func Parse(file string, data []byte) (*Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Problem{File: file, Line: syntaxLine(err), Text: err.Error()}
	}
	doc := document{file: file, data: data, root: &root}
	var s Settings
	problems := doc.decodeFields(reflect.ValueOf(&s).Elem(), &root, "")
	s.SetDefaults()
	if len(problems) == 0 {
		problems = doc.check(&s)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return &s, nil
}

// syntaxLine extracts the line from the text of a syntax error, or returns 0.
func syntaxLine(err error) int {
	var line, column int
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		if n, _ := fmt.Sscanf(err.Error()[i:], "line %d, column %d", &line, &column); n > 0 {
			return line
		}
	}
	return 0
}

// document is a parsed settings file with the source needed to locate problems.
type document struct {
	file string
	data []byte
	root *hujson.Value
}

// line converts a byte offset to a line number.
func (d *document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *document) problem(offset int, key, format string, args ...any) error {
	return Problem{File: d.file, Line: d.line(offset), Key: key, Text: fmt.Sprintf(format, args...)}
}

// decodeFields decodes the object v into dst key by key, so that every error is
// reported with its own line.
func (d *document) decodeFields(dst reflect.Value, v *hujson.Value, prefix string) []error {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		return []error{d.problem(v.StartOffset, prefix, "want an object")}
	}
	fields := fieldsByKey(dst.Type())
	seen := map[string]bool{}
	var problems []error
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		key := prefix + name
		index, known := fields[name]
		switch {
		case !known:
			problems = append(problems, d.problem(m.Name.StartOffset, key, "unknown key"))
		case seen[name]:
			problems = append(problems, d.problem(m.Name.StartOffset, key, "key appears twice"))
		default:
			problems = append(problems, d.decodeField(dst.Field(index), &m.Value, key)...)
		}
		seen[name] = true
	}
	return problems
}

func (d *document) decodeField(field reflect.Value, v *hujson.Value, key string) []error {
	if field.Kind() == reflect.Pointer && field.Type().Elem().Kind() == reflect.Struct {
		field.Set(reflect.New(field.Type().Elem()))
		return d.decodeFields(field.Elem(), v, key+".")
	}
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), field.Addr().Interface()); err != nil {
		return []error{d.problem(v.StartOffset, key, "%s", errorText(err))}
	}
	return nil
}

// errorText describes a type mismatch without the Go field names that
// encoding/json puts into its errors.
func errorText(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("want %s, got %s", typeErr.Type, typeErr.Value)
	}
	return err.Error()
}

// fieldsByKey returns the field indexes of a struct type by JSON key.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}
