package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

// maxLogLine is the maximum length of a line of a log file, in bytes.
const maxLogLine = 1 << 20

// logLine holds the fields of a log line that the timeline of a request shows.
type logLine struct {
	Time    string `json:"time"`
	Host    string `json:"host"`
	Message string `json:"msg"`
	What    string `json:"what"`
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Worker  string `json:"worker"`
	Why     string `json:"why"`
	Outcome string `json:"outcome"`
	Kind    string `json:"kind"`
}

func (a *app) traceCmd() *cobra.Command {
	return &cobra.Command{
		Use: "trace ID FILE...", Short: "Print the log events of a request from collected log files, in time order",
		Example: "  agatewinchctl trace 5c0e7a21d94b36f8 logs/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var lines []logLine
			for _, name := range args[1:] {
				found, err := readLog(name, args[0])
				if err != nil {
					return err
				}
				lines = append(lines, found...)
			}
			if len(lines) == 0 {
				return trace.NotFound("no log line contains %s", args[0])
			}
			slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.Time, y.Time) })
			return a.print(lines, timelineTable(lines))
		},
	}
}

func timelineTable(lines []logLine) *table {
	t := &table{header: []string{"TIME", "HOST", "EVENT", "WHAT", "TASK", "RUN", "WORKER", "WHY"}}
	for _, l := range lines {
		t.add(l.Time, l.Host, l.Message, l.What, l.Task, l.Run, l.Worker, strings.TrimSpace(strings.Join([]string{l.Kind, l.Why, l.Outcome}, " ")))
	}
	return t
}

// readLog returns the lines of a file that contain an ID. Text before the JSON of a line,
// such as a log collector's prefix, is skipped.
func readLog(name, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	return scanLog(f, id)
}

func scanLog(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte(text[start:]), &l); err != nil {
			continue // a truncated line, or a line of another program
		}
		lines = append(lines, l)
	}
	return lines, trace.Wrap(s.Err())
}
