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

// decode fills out from a value and reports unknown keys, repeated keys and
// wrong types. It goes on after a problem, so that all are reported.
func (r *report) decode(key string, v *hujson.Value, out reflect.Value) {
	r.offsets[key] = v.StartOffset
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	switch {
	case out.Addr().Type().Implements(textUnmarshaler):
		r.decodeLiteral(key, v, out)
	case out.Kind() == reflect.Struct:
		r.decodeObject(key, v, out)
	case out.Kind() == reflect.Slice:
		r.decodeArray(key, v, out)
	default:
		r.decodeLiteral(key, v, out)
	}
}

func (r *report) decodeObject(key string, v *hujson.Value, out reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		r.wrongType(key, "want an object")
		return
	}
	fields := fieldsOf(out.Type())
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
			r.decode(child, &member.Value, out.Field(index))
		}
		seen[name] = true
	}
}

func (r *report) decodeArray(key string, v *hujson.Value, out reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.wrongType(key, "want an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		r.decode(fmt.Sprintf("%s[%d]", key, i), &array.Elements[i], out.Index(i))
	}
}

func (r *report) decodeLiteral(key string, v *hujson.Value, out reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		r.wrongType(key, "want %s", kindName(out))
		return
	}
	err := json.Unmarshal(literal, out.Addr().Interface())
	if _, mismatch := err.(*json.UnmarshalTypeError); mismatch {
		r.wrongType(key, "want %s, got %.64s", kindName(out), string(literal))
	} else if err != nil {
		r.wrongType(key, "%v", err)
	}
}

func (r *report) wrongType(key, format string, args ...any) {
	r.add(key, format, args...)
	r.unread[key] = true
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
