package resultcode

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const docPath = "../docs/RESULT_CODES.md"

// docTable returns the documentation page that matches the defined codes.
func docTable() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nThis table is checked against `resultcode/table.go` by a test. `Ran` states whether a target may have run the request.\n\n")
	b.WriteString("| Code | Name | HTTP status | Ran | Meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, i := range All() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", i.Code, i.Name, i.Status, i.Ran, i.Meaning)
	}
	return b.String()
}

// Guards against a code that is missing from the documented table or described
// differently there.
func TestDocumentedTable(t *testing.T) {
	want := docTable()
	if os.Getenv("UPDATE_DOCS") != "" {
		if err := os.WriteFile(docPath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docPath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from table.go; run UPDATE_DOCS=1 go test ./resultcode", docPath)
	}
}

// Guards against codes that are out of order or share a number or a name.
func TestCodesUnique(t *testing.T) {
	names := map[string]Code{}
	last := Code(0)
	for _, i := range All() {
		if i.Code <= last {
			t.Errorf("code %d follows %d; codes must be ascending", i.Code, last)
		}
		last = i.Code
		if other, ok := names[i.Name]; ok {
			t.Errorf("codes %d and %d have the same name %q", other, i.Code, i.Name)
		}
		names[i.Name] = i.Code
	}
}
