package yuccayaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"yuccacleat/core/yuccaid"
)

const (
	strTag   = "!!str"
	nullTag  = "!!null"
	boolTag  = "!!bool"
	intTag   = "!!int"
	floatTag = "!!float"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[yuccaid.Bytes]()
)

// syntaxLinePattern matches the line number at the start of the YAML library's error
// messages.
var syntaxLinePattern = regexp.MustCompile(`^yaml: line (\d+): `)

// Decode decodes raw into the struct that into points to, and returns the line of each
// key. The error is a Problems with all mistakes, not just the first.
func Decode(raw []byte, into any) (Lines, error) {
	root, err := parse(raw)
	if err != nil {
		return nil, err
	}
	dec := &decoder{lines: Lines{}}
	if root != nil {
		dec.decodeValue(root, reflect.ValueOf(into).Elem(), "")
	}
	return dec.lines, dec.problems.Err()
}

// parse returns the root node of the document, or nil if raw has none.
func parse(raw []byte) (*yaml.Node, error) {
	yamlDecoder := yaml.NewDecoder(bytes.NewReader(raw))
	var doc yaml.Node
	err := yamlDecoder.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, syntaxProblem(err)
	}
	var second yaml.Node
	if err := yamlDecoder.Decode(&second); !errors.Is(err, io.EOF) {
		prob := &Problem{Kind: ErrSyntax, Line: second.Line, Detail: "a second document follows", Remedy: "keep one document in a file"}
		return nil, Problems{prob}
	}
	return doc.Content[0], nil
}

func syntaxProblem(err error) Problems {
	text := err.Error()
	prob := &Problem{Kind: ErrSyntax, Remedy: "write plain YAML, with spaces for indentation"}
	if match := syntaxLinePattern.FindStringSubmatch(text); match != nil {
		prob.Line, _ = strconv.Atoi(match[1])
		text = text[len(match[0]):]
	}
	prob.Detail = strings.TrimPrefix(text, "yaml: ")
	return Problems{prob}
}

// decoder holds the lines and problems found during one call of Decode.
type decoder struct {
	lines    Lines
	problems Problems
}

// report adds a problem at the line of node.
func (dec *decoder) report(kind error, node *yaml.Node, key, remedy, detail string, args ...any) {
	prob := &Problem{Kind: kind, Line: node.Line, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	dec.problems = append(dec.problems, prob)
}

// decodeValue decodes node into a settable value of any type; key is its dotted key.
func (dec *decoder) decodeValue(node *yaml.Node, into reflect.Value, key string) {
	if node.Kind == yaml.AliasNode {
		dec.report(ErrSyntax, node, key, "write the value out", "an alias stands in place of a value")
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		dec.decodeValue(node, into.Elem(), key)
	case reflect.Struct:
		dec.decodeObject(node, into, key)
	case reflect.Map:
		dec.decodeMapping(node, into, key)
	case reflect.Slice:
		dec.decodeList(node, into, key)
	default:
		dec.decodeScalar(node, into, key)
	}
}

// eachPair calls each for every key of a mapping and its value. It reports a node that
// is not a mapping, keys that are not scalars, and duplicate keys. Duplicate keys are
// reported because lenient decoders keep the last of two equal keys and drop the first
// without telling the operator.
func (dec *decoder) eachPair(node *yaml.Node, key string, each func(name, value *yaml.Node, key string)) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.MappingNode {
		dec.report(ErrValue, node, key, "write keys and values under it", "holds no keys")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if name.Kind != yaml.ScalarNode || name.Value == "" {
			dec.report(ErrSyntax, name, key, "use plain words as keys", "a key is not plain text")
			continue
		}
		path := join(key, name.Value)
		if first, twice := seen[name.Value]; twice {
			dec.report(ErrTwice, name, path, "keep one of the two", "stands on line %d already", first)
			continue
		}
		seen[name.Value] = name.Line
		dec.lines[path] = name.Line
		each(name, value, path)
	}
}

func (dec *decoder) decodeObject(node *yaml.Node, into reflect.Value, key string) {
	names := jsonNames(into.Type())
	dec.eachPair(node, key, func(name, value *yaml.Node, path string) {
		index := slices.Index(names, name.Value)
		if index < 0 {
			dec.report(ErrUnknownKey, name, path, "use one of "+strings.Join(nonEmpty(names), ", "), "no such key")
			return
		}
		dec.decodeValue(value, into.Field(index), path)
	})
}

func (dec *decoder) decodeMapping(node *yaml.Node, into reflect.Value, key string) {
	if isNull(node) {
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	dec.eachPair(node, key, func(name, value *yaml.Node, path string) {
		item := reflect.New(into.Type().Elem()).Elem()
		dec.decodeValue(value, item, path)
		into.SetMapIndex(reflect.ValueOf(name.Value).Convert(into.Type().Key()), item)
	})
}

func (dec *decoder) decodeList(node *yaml.Node, into reflect.Value, key string) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		dec.report(ErrValue, node, key, "write [one, two] or one item a line after a hyphen", "is not a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		path := join(key, strconv.Itoa(i))
		dec.lines[path] = item.Line
		dec.decodeValue(item, into.Index(i), path)
	}
}

func (dec *decoder) decodeScalar(node *yaml.Node, into reflect.Value, key string) {
	if node.Kind != yaml.ScalarNode || node.Tag == nullTag {
		dec.report(ErrValue, node, key, "write a single value", "has no value")
		return
	}
	if into.Type() == durationType {
		dec.decodeDuration(node, into, key)
		return
	}
	if into.Type() == bytesType {
		dec.decodeBytes(node, into, key)
		return
	}
	bits := 0
	if into.CanInt() || into.CanUint() || into.CanFloat() {
		bits = into.Type().Bits()
	}
	switch {
	case into.Kind() == reflect.String:
		into.SetString(node.Value)
	case into.Kind() == reflect.Bool:
		into.SetBool(node.Value == "true")
		if node.Tag != boolTag || node.Value != "true" && node.Value != "false" {
			dec.report(ErrValue, node, key, "write true or false", "%q is neither true nor false", node.Value)
		}
	case into.CanInt():
		number, err := strconv.ParseInt(node.Value, 10, bits)
		into.SetInt(number)
		dec.checkNumber(node, key, err, "a whole number", intTag)
	case into.CanUint():
		number, err := strconv.ParseUint(node.Value, 10, bits)
		into.SetUint(number)
		dec.checkNumber(node, key, err, "a whole number, not negative", intTag)
	default:
		number, err := strconv.ParseFloat(node.Value, bits)
		if math.IsNaN(number) || math.IsInf(number, 0) {
			number, err = 0, strconv.ErrRange
		}
		into.SetFloat(number)
		dec.checkNumber(node, key, err, "a number", intTag, floatTag)
	}
}

// checkNumber reports a number that could not be parsed (err) or whose YAML type is not
// in tags.
func (dec *decoder) checkNumber(node *yaml.Node, key string, err error, want string, tags ...string) {
	if err == nil && slices.Contains(tags, node.Tag) {
		return
	}
	hasUnit := node.Tag == strTag && strings.ContainsAny(node.Value, "0123456789")
	if hasUnit && !errors.Is(err, strconv.ErrRange) {
		dec.report(ErrUnit, node, key, "write "+want+" without unit or quotes", "%q is not a bare number", node.Value)
		return
	}
	dec.report(ErrValue, node, key, "write "+want, "%q does not fit", node.Value)
}

// decodeDuration decodes a duration with a unit. time.ParseDuration accepts a bare 0;
// decodeDuration refuses it, so that every duration has a unit.
func (dec *decoder) decodeDuration(node *yaml.Node, into reflect.Value, key string) {
	span, err := time.ParseDuration(node.Value)
	if err == nil && (span != 0 || node.Tag != intTag) {
		into.SetInt(int64(span))
		return
	}
	remedy := "write a duration such as 30s or 2m"
	if _, err := strconv.ParseFloat(node.Value, 64); err == nil {
		dec.report(ErrUnit, node, key, remedy, "%s has no unit", node.Value)
		return
	}
	dec.report(ErrUnit, node, key, remedy, "%q is not a duration", node.Value)
}

func (dec *decoder) decodeBytes(node *yaml.Node, into reflect.Value, key string) {
	size, err := parseBytes(node.Value)
	if err != nil {
		dec.report(ErrUnit, node, key, "write a size such as 512B, 64KiB or 4MiB", "%q is not a size", node.Value)
	}
	into.SetInt(int64(size))
}

// isNull reports whether a value is null or missing.
func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == nullTag
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// jsonNames returns the name in the json tag of each field of a struct, in order; the
// name is empty for a field without a json tag.
func jsonNames(structType reflect.Type) []string {
	names := make([]string, structType.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(structType.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func nonEmpty(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "" })
}
