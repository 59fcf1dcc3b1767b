package event

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log"
)

// subjectFields are the log fields that can name the subject of an event, the most specific first.
var subjectFields = []string{"upstream", "owner", "service", "source", "leader"}

// Logger returns a logger that adds each line to a timeline and passes the line to next. Lines of the excluded events
// are passed on without being added.
func Logger(timeline *Timeline, next log.Logger, excludedEvents ...string) log.Logger {
	isExcluded := make(map[string]bool)
	for _, excluded := range excludedEvents {
		isExcluded[excluded] = true
	}
	return log.LoggerFunc(func(pairs ...any) error {
		kind := ""
		fields := make(map[string]string)
		var detail []string
		for i := 0; i+1 < len(pairs); i += 2 {
			name, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
			if name == "event" {
				if isExcluded[value] {
					return next.Log(pairs...)
				}
				kind = value
				continue
			}
			fields[name] = value
			detail = append(detail, name+"="+value)
		}
		subject := ""
		for _, name := range subjectFields {
			if subject = fields[name]; subject != "" {
				break
			}
		}
		timeline.Add(time.Now(), kind, subject, strings.Join(detail, " "))
		return next.Log(pairs...)
	})
}
