package main

import (
	"embed"
	"fmt"
	"strings"
	"text/template"
)

// wireFiles holds what the platform's pages name: settings, messages and names.
// They stay out of the Go files, as elsewhere outside the platform's adapter.
//
//go:embed wire
var wireFiles embed.FS

var (
	templates = template.Must(template.ParseFS(wireFiles, "wire/*.json", "wire/settings.txt"))
	names     = readNames()
)

// render fills in the template of a file.
func render(file string, data any) string {
	var b strings.Builder
	if err := templates.ExecuteTemplate(&b, file, data); err != nil {
		panic(fmt.Sprintf("template %s: %v", file, err)) // the files are part of the program
	}
	return b.String()
}

// name returns the platform's name for something.
func name(of string) string {
	v, ok := names[of]
	if !ok {
		panic("no name for " + of) // the names are part of the program
	}
	return v
}

func readNames() map[string]string {
	b, err := wireFiles.ReadFile("wire/names.txt")
	if err != nil {
		panic(err) // the file is part of the program
	}
	out := map[string]string{}
	for line := range strings.Lines(string(b)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		out[key] = value
	}
	return out
}
