package account

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"cyclamendyke"
)

// segment is the stored value of one segment.
type segment struct {
	Records []json.RawMessage `json:"records"`
}

// dayFormat is the format of the day in a segment's key, in UTC.
const dayFormat = time.DateOnly

func dayPrefix(zone cyclamendyke.ZoneName, day string) string {
	return cyclamendyke.AccountPrefix + string(zone) + "/" + day + "/"
}

func (c Config) segmentKey(day string, number int) string {
	started := strconv.FormatInt(c.Started.UnixNano(), 36)
	return fmt.Sprintf("%s%s.%s.%06d", dayPrefix(c.Zone, day), c.Member, started, number)
}
