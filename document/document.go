// Package document decodes YAML into structs and collects all errors as findings, each
// with file, line and column.
//
//	var s Settings
//	d := document.Document{Name: "settings.yaml"}
//	d.Decode(data, &s)
//	if s.Name == "" {
//		d.Add("name", "must be set")
//	}
//	return d.Err()
package document

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/thymewind/thymewind/finding"
)

// Document is one YAML file to decode. Set Name before Decode.
type Document struct {
	// Name is the file's name in findings.
	Name string

	findings finding.List
	// positions maps the path of each value, such as "limits.body_bytes" or
	// "accounts[2].name", to its file, line and column.
	positions map[string]string
}

// Decode decodes data into the struct that into points to. Fields that are not in the
// file keep their values, which serve as defaults. Errors are collected; see Err.
func (d *Document) Decode(data []byte, into any) {
	d.positions = make(map[string]string)
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.findings.Add(d.Name, "%s", firstLine(err))
		return
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		d.findings.Add(d.Name, "the file is empty")
		return
	}
	if len(file.Docs) > 1 {
		d.findings.Add(d.Name, "the file holds more than one document")
	}
	d.decodeValue("", file.Docs[0].Body, reflect.ValueOf(into).Elem())
}

// Add records a finding about the value at path, such as "peers" or
// "pools[0].kind".
func (d *Document) Add(path, format string, args ...any) {
	at, known := d.positions[path]
	if !known {
		at = d.Name
	}
	d.findings.Add(at+": "+path, format, args...)
}

// Err returns all findings as one error, or nil.
func (d *Document) Err() error { return d.findings.Err() }

func (d *Document) decodeValue(path string, node ast.Node, into reflect.Value) {
	d.positions[path] = d.position(node.GetToken())
	switch {
	case into.Kind() == reflect.Struct && !isText(into):
		d.decodeStruct(path, node, into)
	case into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.Struct && !isText(reflect.New(into.Type().Elem()).Elem()):
		d.decodeSlice(path, node, into)
	default:
		if err := yaml.NodeToValue(node, into.Addr().Interface()); err != nil {
			d.Add(path, "%s", firstLine(err))
		}
	}
}

func (d *Document) decodeStruct(path string, node ast.Node, into reflect.Value) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		d.Add(path, "must be a mapping")
		return
	}
	seen := make(map[string]bool)
	for entries := mapping.MapRange(); entries.Next(); {
		key := entries.Key().String()
		at := join(path, key)
		d.positions[at] = d.position(entries.Key().GetToken())
		field := fieldOf(into, key)
		switch {
		case !field.IsValid():
			d.Add(at, "unknown field")
		case seen[key]:
			d.Add(at, "duplicate field")
		default:
			d.decodeValue(at, entries.Value(), field)
		}
		seen[key] = true
	}
}

func (d *Document) decodeSlice(path string, node ast.Node, into reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.Add(path, "must be a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	into.Set(list)
}

func (d *Document) position(t *token.Token) string {
	return fmt.Sprintf("%s:%d:%d", d.Name, t.Position.Line, t.Position.Column)
}

// fieldOf returns the struct field with key as its yaml tag or its json name, or an
// invalid value.
func fieldOf(s reflect.Value, key string) reflect.Value {
	for i := range s.NumField() {
		tag := s.Type().Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		if tag.Get("yaml") == key || name == key {
			return s.Field(i)
		}
	}
	return reflect.Value{}
}

// isText reports whether a struct unmarshals itself from text, such as
// netip.AddrPort.
func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// firstLine removes the source excerpt from an error message of the YAML library.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
