package manifest

import (
	"regexp"
	"strconv"
	"strings"
)

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

// addSyntaxError reports a syntax error. The parser gives the position only in
// the text of its error.
func (r *report) addSyntaxError(err error) {
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	p := Problem{File: r.file, Line: 1, Column: 1, Message: message}
	if at := syntaxPosition.FindStringSubmatch(message); at != nil {
		p.Line, _ = strconv.Atoi(at[1])
		p.Column, _ = strconv.Atoi(at[2])
		p.Message = strings.TrimPrefix(strings.TrimPrefix(message, at[0]), ": ")
	}
	r.problems = append(r.problems, p)
}
