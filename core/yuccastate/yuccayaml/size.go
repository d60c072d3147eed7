package yuccayaml

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"yuccacleat/core/yuccaid"
)

type sizeUnit struct {
	name  string
	bytes yuccaid.Bytes
}

// sizeUnits is sorted from large to small; B is last because the other names end in it.
var sizeUnits = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

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

func formatBytes(size yuccaid.Bytes) string {
	for _, unit := range sizeUnits {
		if size%unit.bytes == 0 && (size != 0 || unit.bytes == 1) {
			return fmt.Sprintf("%d%s", size/unit.bytes, unit.name)
		}
	}
	return ""
}
