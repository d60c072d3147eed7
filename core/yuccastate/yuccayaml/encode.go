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
// key, and no key whose value is the zero value.
func Encode(from any) []byte {
	var out bytes.Buffer
	writer := yaml.NewEncoder(&out)
	writer.SetIndent(indent)
	if err := writer.Encode(nodeOf(reflect.ValueOf(from))); err != nil {
		// The nodes are built right above, so only a mistake in nodeOf gets here.
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
		return textNode("!!str", from.String())
	default:
		return textNode("", fmt.Sprint(from.Interface()))
	}
}

func objectNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for i, name := range fieldsOf(from.Type()) {
		field := from.Field(i)
		if name == "" || blank(field) {
			continue
		}
		node.Content = append(node.Content, textNode("!!str", name), nodeOf(field))
	}
	return node
}

func tableNode(from reflect.Value) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	keys := from.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		node.Content = append(node.Content, textNode("!!str", key.String()), nodeOf(from.MapIndex(key)))
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
