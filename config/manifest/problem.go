package manifest

import (
	"bytes"
	"fmt"
	"sort"
)

// Problem is one error in a manifest.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`          // from 1
	Column  int    `json:"column"`        // from 1, in bytes
	Key     string `json:"key,omitempty"` // for example services[0].routes[2].path
	Message string `json:"message"`
}

// String returns the problem in the form file:line:column: key: message.
func (p Problem) String() string {
	at := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Key == "" {
		return at + p.Message
	}
	return at + p.Key + ": " + p.Message
}

// report collects problems and the positions of the keys in a document.
type report struct {
	file     string
	data     []byte
	offsets  map[string]int  // offset of each value by key path
	invalid  map[string]bool // keys whose value has the wrong type; further problems with them are dropped
	problems []Problem
}

func newReport(file string, data []byte) *report {
	return &report{file: file, data: data, offsets: make(map[string]int), invalid: make(map[string]bool)}
}

// has reports whether the document contains a key.
func (r *report) has(key string) bool {
	_, ok := r.offsets[key]
	return ok
}

// add reports a problem at the position of a key, or of its nearest parent that
// the document contains.
func (r *report) add(key, format string, args ...any) {
	if r.invalid[key] {
		return
	}
	at := key
	for !r.has(at) && at != "" {
		at = parentKey(at)
	}
	r.addAt(r.offsets[at], key, format, args...)
}

// addAt reports a problem at a byte offset.
func (r *report) addAt(offset int, key, format string, args ...any) {
	line, column := position(r.data, offset)
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Column: column, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// sortedProblems returns the problems in document order.
func (r *report) sortedProblems() []Problem {
	sort.SliceStable(r.problems, func(i, j int) bool {
		a, b := r.problems[i], r.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return r.problems
}

// line returns the line of a key's value, for messages that refer to another key.
func (r *report) line(key string) int {
	line, _ := position(r.data, r.offsets[key])
	return line
}

// position converts a byte offset to a line and column, both counted from 1.
func position(data []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = offset - bytes.LastIndexByte(before, '\n')
	return line, column
}

// parentKey returns the key path of the enclosing object or array.
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
