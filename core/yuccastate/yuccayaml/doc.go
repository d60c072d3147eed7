// Package yuccayaml reads the YAML files that people write for yuccacleat, and
// tells them about every mistake by line, key and remedy.
//
// Decode fills a struct by its json tags. It refuses what a lenient reader would
// skip in silence: unknown keys, keys that stand twice, durations without a unit,
// aliases and second documents. Encode writes the same struct back in one stable
// form, which Decode reads to the same value.
//
//	var settings struct {
//		Drain time.Duration `json:"drain"`
//	}
//	lines, err := yuccayaml.Decode([]byte("drain: 30\n"), &settings)
//	// err: line 1: drain: 30 has no unit: write a duration such as 30s or 2m
package yuccayaml
