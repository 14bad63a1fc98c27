package daemon

import (
	"fmt"

	"github.com/charmbracelet/log"
	klog "github.com/go-kratos/kratos/v2/log"
)

// kratosLogger writes Kratos's log lines with the daemon's logger.
type kratosLogger struct {
	logger *log.Logger
}

// Log writes one line; Kratos passes its own message among the pairs.
func (l kratosLogger) Log(level klog.Level, pairs ...any) error {
	l.logger.Log(levelOf(level), "http server", toStrings(pairs)...)
	return nil
}

func levelOf(level klog.Level) log.Level {
	switch level {
	case klog.LevelDebug, klog.LevelInfo:
		return log.DebugLevel
	case klog.LevelWarn:
		return log.WarnLevel
	}
	return log.ErrorLevel
}

// toStrings returns the elements of pairs formatted as strings.
func toStrings(pairs []any) []any {
	texts := make([]any, 0, len(pairs))
	for _, pair := range pairs {
		texts = append(texts, fmt.Sprint(pair))
	}
	return texts
}
