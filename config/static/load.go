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
	Line int    // 0 when the key is absent from the file
	Key  string // JSON key, empty for errors of syntax
	Text string
}

// Error implements error.
func (p Problem) Error() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", where, p.Text)
	}
	return fmt.Sprintf("%s: %s: %s", where, p.Key, p.Text)
}

// Load reads, completes and checks the settings in file. The error joins one
// Problem for every fault found.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse is Load for settings already in memory; file is used in messages.
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

func syntaxLine(err error) int {
	var line, column int
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		if n, _ := fmt.Sscanf(err.Error()[i:], "line %d, column %d", &line, &column); n > 0 {
			return line
		}
	}
	return 0
}

// document is a parsed settings file that can tell the line of a key.
type document struct {
	file string
	data []byte
	root *hujson.Value
}

func (d *document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d *document) problem(offset int, key, format string, args ...any) error {
	return Problem{File: d.file, Line: d.line(offset), Key: key, Text: fmt.Sprintf(format, args...)}
}

// decodeFields sets the fields of dst from the object v, key by key, so that
// every fault is reported with its own line.
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
	clean := v.Clone()
	clean.Standardize()
	if err := json.Unmarshal(clean.Pack(), field.Addr().Interface()); err != nil {
		return []error{d.problem(v.StartOffset, key, "%s", plainError(err))}
	}
	return nil
}

func plainError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("want %s, got %s", typeErr.Type, typeErr.Value)
	}
	return err.Error()
}

func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}
