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

const indent = 2

// Encode writes a struct in a stable form: fields in their order, maps sorted by
// key, and no key that may be omitted and whose value is the zero value.
func Encode(from any) []byte {
	return write(nodeOf(reflect.ValueOf(from)))
}

// Field is one key of a struct and its value on one line.
type Field struct {
	Key   string
	Value string
}

// Fields writes a struct's fields one by one, as Encode would.
func Fields(from any) []Field {
	node := nodeOf(reflect.ValueOf(from))
	fields := make([]Field, 0, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		value := node.Content[i+1]
		value.Style |= yaml.FlowStyle
		text := strings.TrimSuffix(string(write(value)), "\n")
		fields = append(fields, Field{Key: node.Content[i].Value, Value: text})
	}
	return fields
}

func write(node *yaml.Node) []byte {
	var out bytes.Buffer
	writer := yaml.NewEncoder(&out)
	writer.SetIndent(indent)
	if err := writer.Encode(node); err != nil {
		// The nodes are built in this file, so only a mistake here gets there.
		panic(fmt.Sprintf("yuccayaml: %v", err))
	}
	return out.Bytes()
}

func nodeOf(from reflect.Value) *yaml.Node {
	if from.Type() == durationType {
		return textNode("", time.Duration(from.Int()).String())
	}
	if from.Type() == bytesType {
		return textNode("", formatBytes(yuccaid.Bytes(from.Int())))
	}
	switch from.Kind() {
	case reflect.Pointer:
		return nodeOf(from.Elem())
	case reflect.Struct:
		return objectNode(from)
	case reflect.Map:
		return tableNode(from)
	case reflect.Slice:
		return listNode(from)
	case reflect.String:
		return textNode(strTag, from.String())
	default:
		return textNode("", fmt.Sprint(from.Interface()))
	}
}

func objectNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for i, name := range fieldsOf(from.Type()) {
		field := from.Field(i)
		_, options, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || options != "" && blank(field) {
			continue
		}
		node.Content = append(node.Content, textNode(strTag, name), nodeOf(field))
	}
	return node
}

func tableNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	keys := from.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		node.Content = append(node.Content, textNode(strTag, key.String()), nodeOf(from.MapIndex(key)))
	}
	return node
}

func listNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
	for i := range from.Len() {
		node.Content = append(node.Content, nodeOf(from.Index(i)))
	}
	return node
}

func textNode(tag, text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: text}
}

func blank(field reflect.Value) bool {
	switch field.Kind() {
	case reflect.Struct:
		for i := range field.NumField() {
			if !blank(field.Field(i)) {
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
