package yuccayaml

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"yuccacleat/core/yuccaid"
)

// indent is the number of spaces per level of nesting.
const indent = 2

// Encode returns a struct as YAML in a stable form: fields in the order of the struct,
// maps sorted by key, and fields tagged omitempty or omitzero left out if they are empty.
func Encode(object any) []byte {
	return encodeNode(nodeOf(reflect.ValueOf(object)))
}

// Field is the key of one field of a struct and its value as YAML on one line.
type Field struct {
	Key   string
	Value string
}

// Fields returns the fields of a struct that Encode writes, in the same order.
func Fields(object any) []Field {
	node := nodeOf(reflect.ValueOf(object))
	fields := make([]Field, 0, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		value := node.Content[i+1]
		value.Style |= yaml.FlowStyle
		text := strings.TrimSuffix(string(encodeNode(value)), "\n")
		fields = append(fields, Field{Key: node.Content[i].Value, Value: text})
	}
	return fields
}

func encodeNode(node *yaml.Node) []byte {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indent)
	if err := encoder.Encode(node); err != nil {
		// All nodes are built in this file, so an error here is a bug in this file.
		panic(fmt.Sprintf("yuccayaml: %v", err))
	}
	return out.Bytes()
}

func nodeOf(value reflect.Value) *yaml.Node {
	if value.Type() == durationType {
		return scalarNode("", time.Duration(value.Int()).String())
	}
	if value.Type() == bytesType {
		return scalarNode("", formatBytes(yuccaid.Bytes(value.Int())))
	}
	switch value.Kind() {
	case reflect.Pointer:
		return nodeOf(value.Elem())
	case reflect.Struct:
		return objectNode(value)
	case reflect.Map:
		return mappingNode(value)
	case reflect.Slice:
		return listNode(value)
	case reflect.String:
		return scalarNode(strTag, value.String())
	default:
		return scalarNode("", fmt.Sprint(value.Interface()))
	}
}

// objectNode returns a struct as a mapping; a tag option is omitempty or omitzero.
func objectNode(object reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for i, name := range jsonNames(object.Type()) {
		field := object.Field(i)
		_, options, _ := strings.Cut(object.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || options != "" && isEmpty(field) {
			continue
		}
		node.Content = append(node.Content, scalarNode(strTag, name), nodeOf(field))
	}
	return node
}

func mappingNode(mapping reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	keys := mapping.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		node.Content = append(node.Content, scalarNode(strTag, key.String()), nodeOf(mapping.MapIndex(key)))
	}
	return node
}

func listNode(list reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	for i := range list.Len() {
		node.Content = append(node.Content, nodeOf(list.Index(i)))
	}
	return node
}

func scalarNode(tag, text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: text}
}

// isEmpty reports whether omitempty or omitzero leaves the field out: the field is a
// zero value, an empty map or list, or a struct that has only empty fields.
func isEmpty(field reflect.Value) bool {
	switch field.Kind() {
	case reflect.Struct:
		for i := range field.NumField() {
			if !isEmpty(field.Field(i)) {
				return false
			}
		}
		return true
	case reflect.Map, reflect.Slice:
		return field.Len() == 0
	default:
		return field.IsZero()
	}
}
