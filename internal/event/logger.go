package event

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log"
)

// subjects are the fields of a log line that say what an event is about, the most telling first.
var subjects = []string{"upstream", "owner", "service", "source", "leader"}

// Logger returns a logger that adds each line to a time line and passes it on, but for lines of the given events, which
// it only passes on.
func Logger(line *Timeline, next log.Logger, apart ...string) log.Logger {
	isApart := make(map[string]bool)
	for _, one := range apart {
		isApart[one] = true
	}
	return log.LoggerFunc(func(pairs ...any) error {
		kind := ""
		fields := make(map[string]string)
		var detail []string
		for i := 0; i+1 < len(pairs); i += 2 {
			name, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
			if name == "event" {
				if isApart[value] {
					return next.Log(pairs...)
				}
				kind = value
				continue
			}
			fields[name] = value
			detail = append(detail, name+"="+value)
		}
		subject := ""
		for _, name := range subjects {
			if subject = fields[name]; subject != "" {
				break
			}
		}
		line.Add(time.Now(), kind, subject, strings.Join(detail, " "))
		return next.Log(pairs...)
	})
}
