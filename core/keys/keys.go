// Package keys describes the keys of azurelane's own documents, so that checks
// and the operators' reference come from one list.
package keys

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
)

// Key is one key of a document.
type Key struct {
	Path    string // From the document's root, as in "/trace/ratio"; "*" stands for any name.
	Want    string // What is expected there, as errors say it.
	Default string // What an absent key counts as; empty for none.
	Text    string // What it does, for operators.
}

// Find returns the key that a path of a document belongs to.
func Find(list []Key, path string) (Key, bool) {
	for _, k := range list {
		if matches(k.Path, path) {
			return k, true
		}
	}
	return Key{}, false
}

// Explain says at which key a document could not be read and what was expected
// there. It reports false for errors that name no place in the document.
func Explain(list []Key, err error) (string, bool) {
	var sem *json.SemanticError
	if !errors.As(err, &sem) {
		return "", false
	}
	path := string(sem.JSONPointer)
	if errors.Is(sem.Err, json.ErrUnknownName) {
		return path + ": unknown key", true
	}
	if k, ok := Find(list, path); ok {
		return path + ": expected " + k.Want, true
	}
	return path + ": expected an object", true
}

// matches compares a key with a path. The path of a list's element belongs to
// the list.
func matches(key, path string) bool {
	want, have := strings.Split(key, "/"), strings.Split(path, "/")
	if len(have) < len(want) {
		return false
	}
	for i := range want {
		if want[i] != "*" && want[i] != have[i] {
			return false
		}
	}
	for _, rest := range have[len(want):] {
		if strings.Trim(rest, "0123456789") != "" {
			return false
		}
	}
	return true
}

// Table writes the keys as a Markdown table.
func Table(list []Key) string {
	var b strings.Builder
	b.WriteString("| key | expected | default | meaning |\n|---|---|---|---|\n")
	for _, k := range list {
		def := k.Default
		if def != "" {
			def = "`" + def + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Path, k.Want, def, k.Text)
	}
	return b.String()
}

// Embed puts a table into a page, between the lines that begin and end the mark,
// and returns the page and what stood there before.
func Embed(page, mark, table string) (updated, before string, err error) {
	begin, end := "<!-- "+mark+" -->\n", "<!-- end of "+mark+" -->"
	head, rest, ok := strings.Cut(page, begin)
	if ok {
		before, rest, ok = strings.Cut(rest, end)
	}
	if !ok {
		return "", "", fmt.Errorf("keys: no mark %q", mark)
	}
	return head + begin + table + end + rest, before, nil
}

// Paths lists the keys that a document read into a value of type t can have,
// in the order of its fields.
func Paths(t reflect.Type) []string { return paths(t, "") }

func paths(t reflect.Type, at string) []string {
	switch {
	case t.Kind() == reflect.Pointer:
		return paths(t.Elem(), at)
	case t.Kind() == reflect.Map, t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct && !hasText(t.Elem()):
		return paths(t.Elem(), at+"/*")
	case t.Kind() != reflect.Struct || hasText(t):
		return []string{at}
	}
	var list []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			list = append(list, paths(t.Field(i).Type, at+"/"+name)...)
		}
	}
	return list
}

// hasText reports whether values of the type are written as one text.
func hasText(t reflect.Type) bool {
	_, ok := reflect.New(t).Interface().(interface{ UnmarshalText(text []byte) error })
	return ok || t == reflect.TypeFor[time.Time]()
}
