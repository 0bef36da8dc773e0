package main

import (
	_ "embed" // for the texts below
	"strings"
)

// What is spoken with the platform, clients and instances. The texts stand in files
// of their own, since the platform's names stay out of the project's Go code.
var (
	//go:embed wire/names.txt
	namesText string
	//go:embed wire/config.json
	configText string
	//go:embed wire/heartbeat.json
	heartbeatText string
	//go:embed wire/settings.txt
	settingsText string
)

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	out := map[string]string{}
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		out[key] = value
	}
	return out
}

// fill replaces the words of a text that are given in pairs with their values.
func fill(text string, pairs ...string) string { return strings.NewReplacer(pairs...).Replace(text) }
