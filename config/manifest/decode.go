package manifest

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// decode decodes a value into dst and reports unknown keys, repeated keys and
// wrong types. It continues after a problem, so that all problems are reported.
func (r *report) decode(key string, v *hujson.Value, dst reflect.Value) {
	r.offsets[key] = v.StartOffset
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	switch {
	case dst.Addr().Type().Implements(textUnmarshaler):
		r.decodeLiteral(key, v, dst)
	case dst.Kind() == reflect.Struct:
		r.decodeObject(key, v, dst)
	case dst.Kind() == reflect.Slice:
		r.decodeArray(key, v, dst)
	default:
		r.decodeLiteral(key, v, dst)
	}
}

func (r *report) decodeObject(key string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.wrongType(key, "want an object")
		return
	}
	fields := fieldsOf(dst.Type())
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		name := literal.String()
		child := joinKey(key, name)
		index, known := fields[name]
		switch {
		case !known:
			r.addAt(member.Name.StartOffset, child, "unknown key")
		case seen[name]:
			r.addAt(member.Name.StartOffset, child, "key appears twice")
		default:
			r.decode(child, &member.Value, dst.Field(index))
		}
		seen[name] = true
	}
}

func (r *report) decodeArray(key string, v *hujson.Value, dst reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.wrongType(key, "want an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		r.decode(fmt.Sprintf("%s[%d]", key, i), &array.Elements[i], dst.Index(i))
	}
}

func (r *report) decodeLiteral(key string, v *hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		r.wrongType(key, "want %s", kindName(dst))
		return
	}
	err := json.Unmarshal(literal, dst.Addr().Interface())
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		r.wrongType(key, "want %s, got %.64s", kindName(dst), string(literal))
	} else if err != nil {
		r.wrongType(key, "%v", err)
	}
}

// wrongType reports a value of the wrong type and suppresses further problems
// with the same key.
func (r *report) wrongType(key, format string, args ...any) {
	r.add(key, format, args...)
	r.invalid[key] = true
}

func kindName(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "a string"
}

// fieldsOf returns the field indexes of a struct type by JSON key.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = i
	}
	return fields
}

func joinKey(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}
