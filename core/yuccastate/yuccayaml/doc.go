// Package yuccayaml decodes the YAML files that operators write for yuccacleat, and
// reports every mistake with its line, key and remedy.
//
// Decode fills a struct by its json tags. It refuses what lenient decoders ignore:
// unknown keys, duplicate keys, durations without a unit, aliases and second documents.
// Encode writes a struct so that equal values give equal bytes, and Decode decodes
// these bytes to the same value.
//
//	var settings struct {
//		Drain time.Duration `json:"drain"`
//	}
//	lines, err := yuccayaml.Decode([]byte("drain: 30\n"), &settings)
//	// err: line 1: drain: 30 has no unit: write a duration such as 30s or 2m
package yuccayaml
