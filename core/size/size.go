package size

import (
	"math"
	"strconv"
	"strings"

	"cyclamendyke"
)

const (
	milliPerCore      = 1000
	bytesPerMiB       = 1 << 20
	maxFractionDigits = 3 // Digits after the decimal point of a number of cores.
	maxWholeCores     = math.MaxInt64 / milliPerCore
)

// units lists the units of memory, the longest suffixes first.
var units = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
}

// Cores parses a number of cores with up to three decimals, such as 64 or 0.5; other text gives an error
// of KindInvalid.
func Cores(text string) (cyclamendyke.MilliCores, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	cores, err := parseDigits(whole)
	if err != nil || cores > maxWholeCores-1 || len(fraction) > maxFractionDigits || strings.HasSuffix(text, ".") {
		return 0, &Error{Op: "cores", Kind: cyclamendyke.KindInvalid, Text: text, Want: "a number of cores with up to three decimals, such as 64 or 0.5"}
	}
	milli, err := parseDigits((fraction + "000")[:maxFractionDigits])
	if err != nil {
		return 0, &Error{Op: "cores", Kind: cyclamendyke.KindInvalid, Text: text, Want: "a number of cores with up to three decimals, such as 64 or 0.5"}
	}
	return cyclamendyke.MilliCores(cores*milliPerCore + milli), nil
}

// MemoryFloor parses an amount of memory such as 256GiB or 512MB and rounds it down to whole MiB; other
// text gives an error of KindInvalid.
func MemoryFloor(text string) (cyclamendyke.MiB, error) {
	bytes, err := parseBytes(text)
	return cyclamendyke.MiB(bytes / bytesPerMiB), err
}

// MemoryCeil parses an amount of memory such as 256GiB or 512MB and rounds it up to whole MiB; other text
// gives an error of KindInvalid.
func MemoryCeil(text string) (cyclamendyke.MiB, error) {
	bytes, err := parseBytes(text)
	return cyclamendyke.MiB((bytes + bytesPerMiB - 1) / bytesPerMiB), err
}

func parseBytes(text string) (int64, error) {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		count, err := parseDigits(strings.TrimSpace(digits))
		if err != nil || count > (math.MaxInt64-bytesPerMiB)/unit.bytes {
			break
		}
		return count * unit.bytes, nil
	}
	return 0, &Error{Op: "memory", Kind: cyclamendyke.KindInvalid, Text: text, Want: "a whole number with KB, MB, GB, TB, KiB, MiB, GiB or TiB, such as 256GiB"}
}

// parseDigits parses a whole number of decimal digits only; strconv.ParseInt would also accept a sign.
func parseDigits(text string) (int64, error) {
	if strings.Trim(text, "0123456789") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseInt(text, 10, 64)
}
