package yuccaconf

import (
	"bytes"
	"errors"
	"os"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

// keyBytes is the least length of a fleet key: as long as the digests that it signs.
const keyBytes = 32

var (
	// ErrFile says that the settings file can't be read.
	ErrFile = errors.New("settings file")
	// ErrMissing says that a key has to be there and isn't.
	ErrMissing = errors.New("missing")
	// ErrAddress says that an address is of the wrong form.
	ErrAddress = errors.New("address")
	// ErrDoubleAddress says that two keys have one address.
	ErrDoubleAddress = errors.New("address given twice")
	// ErrKeyFile says that the fleet key can't be had from its file.
	ErrKeyFile = errors.New("fleet key file")
	// ErrRange says that a value is outside of what works.
	ErrRange = errors.New("out of range")
)

// Load reads the settings and the fleet key's file that they name. The error is a
// yuccayaml.Problems, each of them of one of this package's kinds or yuccayaml's.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		prob := &yuccayaml.Problem{Kind: ErrFile, Detail: err.Error(), Remedy: "give the path of a file that the daemon may read"}
		return nil, yuccayaml.Problems{prob}
	}
	return Parse(raw)
}

// Parse is Load for a file's content.
func Parse(raw []byte) (*Settings, error) {
	settings := Defaults()
	lines, err := yuccayaml.Decode(raw, &settings)
	check := &checker{lines: lines}
	errors.As(err, &check.problems)
	check.settings(&settings)
	settings.FleetKey = check.fleetKey(settings.FleetKeyFile)
	if err := check.problems.Err(); err != nil {
		return nil, err
	}
	return &settings, nil
}

// fleetKey reads the key's file. A line end is cut off, since editors add one.
func (check *checker) fleetKey(path string) yuccaid.Key {
	const key = "fleetKeyFile"
	if !check.present(key, path, "name the file with the key that all daemons of the fleet share") {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		check.report(ErrKeyFile, key, "put the fleet's key there, readable by the daemon", "%v", err)
		return nil
	}
	raw = bytes.TrimSuffix(bytes.TrimSuffix(raw, []byte("\n")), []byte("\r"))
	if len(raw) < keyBytes {
		check.report(ErrKeyFile, key, "put at least 32 random bytes there, the same for the whole fleet", "%s holds %d bytes", path, len(raw))
		return nil
	}
	return raw
}
