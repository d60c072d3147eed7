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

// Encode returns a struct as YAML in a stable form: fields in the order of the struct,
// maps sorted by key, and fields tagged omitempty or omitzero left out if they are empty.
func Encode(from any) []byte {
	return write(nodeOf(reflect.ValueOf(from)))
}

// Field is the key of one field of a struct and its value as YAML on one line.
type Field struct {
	Key   string
	Value string
}

// Fields returns the fields of a struct that Encode writes, in the same order.
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
		// All nodes are built in this file, so an error here is a bug in it.
		panic(fmt.Sprintf("yuccayaml: %v", err))
	}
	return out.Bytes()
}

func nodeOf(from reflect.Value) *yaml.Node {
	if from.Type() == durationType {
		return scalarNode("", time.Duration(from.Int()).String())
	}
	if from.Type() == bytesType {
		return scalarNode("", formatBytes(yuccaid.Bytes(from.Int())))
	}
	switch from.Kind() {
	case reflect.Pointer:
		return nodeOf(from.Elem())
	case reflect.Struct:
		return objectNode(from)
	case reflect.Map:
		return mappingNode(from)
	case reflect.Slice:
		return listNode(from)
	case reflect.String:
		return scalarNode(strTag, from.String())
	default:
		return scalarNode("", fmt.Sprint(from.Interface()))
	}
}

func objectNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for i, name := range fieldsOf(from.Type()) {
		field := from.Field(i)
		_, options, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		if name == "" || options != "" && isEmpty(field) {
			continue
		}
		node.Content = append(node.Content, scalarNode(strTag, name), nodeOf(field))
	}
	return node
}

func mappingNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	keys := from.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		node.Content = append(node.Content, scalarNode(strTag, key.String()), nodeOf(from.MapIndex(key)))
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

func scalarNode(tag, text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: text}
}

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
