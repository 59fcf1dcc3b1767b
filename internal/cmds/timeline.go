package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"lovagelink.example/lovagelink/internal/event"
)

func timelineCommand() command {
	var at, htmlPath, since, until string
	var filter event.Filter
	return command{
		name:    "timeline",
		short:   "show the events of all hosts in one order, as text or as an HTML page with a chart",
		usage:   "timeline --at IP:PORT,... [--host NAME] [--kind KIND] [--subject NAME] [--since TIME] [--until TIME] [--html FILE]",
		example: "timeline --at 127.0.0.1:7002,127.0.0.1:7012 --since 10m --html timeline.html",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&at, "at", defaultOperatorAddress, "operators' addresses of the hosts, separated by commas")
			flags.StringVar(&filter.Host, "host", "", "only events that this host has recorded")
			flags.StringVar(&filter.Kind, "kind", "", "only events whose kind has this prefix")
			flags.StringVar(&filter.Subject, "subject", "", "only events of this host, upstream or zone")
			flags.StringVar(&since, "since", "", "only events from this time on, such as 2026-01-31T12:00:00Z or 10m for ten minutes ago")
			flags.StringVar(&until, "until", "", "only events until this time, in the same format as --since")
			flags.StringVar(&htmlPath, "html", "", "write an HTML page with a chart to this file")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			now := time.Now()
			var err error
			if filter.Since, err = parseTime(now, since); err != nil {
				return usageError{"--since: " + err.Error()}
			}
			if filter.Until, err = parseTime(now, until); err != nil {
				return usageError{"--until: " + err.Error()}
			}
			timelines, err := getEach[[]event.Event](ctx, at, "/timeline")
			if len(timelines) == 0 {
				return err
			}
			warn("timeline", err)
			return writeTimeline(out, htmlPath, filter.Apply(event.Merge(timelines...)))
		},
	}
}

// parseTime parses a point in time, or the duration for which it lies in the past; "" is the zero time.
func parseTime(now time.Time, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if elapsed, err := time.ParseDuration(text); err == nil {
		return now.Add(-elapsed), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is neither a time such as 2026-01-31T12:00:00Z nor a duration such as 10m", text)
	}
	return at, nil
}

func writeTimeline(out io.Writer, htmlPath string, events []event.Event) error {
	if htmlPath == "" {
		printTimeline(out, events)
		return nil
	}
	return writePage(out, htmlPath, fmt.Sprintf("%d events", len(events)), func(file io.Writer) error {
		return event.WritePage(file, events)
	})
}

// writePage writes an HTML page to a file and prints the path with a summary.
func writePage(out io.Writer, htmlPath, summary string, write func(io.Writer) error) error {
	file, err := os.Create(htmlPath)
	if err != nil {
		return err
	}
	if err := errors.Join(write(file), file.Close()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %s\n", htmlPath, summary)
	return nil
}

func printTimeline(out io.Writer, events []event.Event) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n",
			e.Stamp.Wall.UTC().Format("15:04:05.000"), e.Host, e.Kind, e.Subject, e.Detail)
	}
	_ = table.Flush()
}
