package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
)

// wireFiles hold the platform's names and the messages that the stand-ins send: the folder platform/ is the only one
// whose code may contain them.
//
//go:embed wire
var wireFiles embed.FS

var (
	wireNames     = readNames()
	wireTemplates = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))
)

func readNames() map[string]string {
	data, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err) // the file is part of the program
	}
	names := make(map[string]string)
	if err := json.Unmarshal(data, &names); err != nil {
		panic(err)
	}
	return names
}

// onWire returns the platform's name of a header, a call or a variable.
func onWire(key string) string {
	name, ok := wireNames[key]
	if !ok {
		panic(fmt.Sprintf("no name for %q", key))
	}
	return name
}

// render returns a message or a settings file.
func render(file string, data any) []byte {
	var text strings.Builder
	if err := wireTemplates.ExecuteTemplate(&text, file, data); err != nil {
		panic(err) // the templates and their data are parts of the program
	}
	return []byte(text.String())
}
