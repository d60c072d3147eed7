package yuccayaml

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"yuccacleat/core/yuccaid"
)

// sizeUnit is a unit of sizes: its name and the number of bytes that it stands for.
type sizeUnit struct {
	name  string
	bytes yuccaid.Bytes
}

// sizeUnits is sorted from large to small; B is last because the names of all other
// units end in B.
var sizeUnits = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseBytes parses a whole number followed directly by a unit, such as 64KiB.
func parseBytes(text string) (yuccaid.Bytes, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.name)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && (count < 0 || count > math.MaxInt64/int64(unit.bytes)) {
			err = strconv.ErrRange
		}
		return yuccaid.Bytes(count) * unit.bytes, err
	}
	return 0, fmt.Errorf("%q has no unit", text)
}

// formatBytes returns a size in the largest unit that divides it. B divides every size, so
// the loop always returns.
func formatBytes(size yuccaid.Bytes) string {
	for _, unit := range sizeUnits {
		if size%unit.bytes == 0 && (size != 0 || unit.bytes == 1) {
			return fmt.Sprintf("%d%s", size/unit.bytes, unit.name)
		}
	}
	return ""
}
