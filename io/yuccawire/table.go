package yuccawire

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// maxTableText bounds a configuration after decompression. The platform's largest value is a
// megabyte. Without the bound, a garbled message could take all of the process's memory.
const maxTableText = 4 << 20

var errLongTable = fmt.Errorf("a compressed configuration is longer than %d bytes: split the configuration", maxTableText)

// Table is a configuration as its operators wrote it: its text in Raw, or the compressed text in
// Packed.
type Table struct {
	Raw    []byte `msgpack:"raw"`
	Packed []byte `msgpack:"packed"`
}

// PackTable compresses the text of a configuration for Table.Packed.
func PackTable(raw []byte) []byte {
	var buf bytes.Buffer
	// Neither the level nor writing to a buffer can fail.
	packer, _ := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	_, _ = packer.Write(raw)
	_ = packer.Close()
	return buf.Bytes()
}

// Text returns the text of the configuration.
func (table Table) Text() ([]byte, error) {
	if len(table.Packed) == 0 {
		return table.Raw, nil
	}
	unpacker, err := gzip.NewReader(bytes.NewReader(table.Packed))
	if err != nil {
		return nil, &GarbledError{Kind: KindTable, Cause: err}
	}
	raw, err := io.ReadAll(io.LimitReader(unpacker, maxTableText+1))
	if err = errors.Join(err, unpacker.Close()); err != nil {
		return nil, &GarbledError{Kind: KindTable, Cause: err}
	}
	if len(raw) > maxTableText {
		return nil, errLongTable
	}
	return raw, nil
}
