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

// maxLogLine bounds a line of a log file, in bytes.
const maxLogLine = 1 << 20

// logLine is what the story of a request shows of a line.
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
		Use: "trace ID FILE...", Short: "Print a request's story from collected log files, in time order",
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
				return trace.NotFound("no line names %s", args[0])
			}
			slices.SortStableFunc(lines, func(x, y logLine) int { return strings.Compare(x.Time, y.Time) })
			return a.print(lines, storyOf(lines))
		},
	}
}

func storyOf(lines []logLine) *table {
	t := &table{header: []string{"TIME", "HOST", "EVENT", "WHAT", "TASK", "RUN", "WORKER", "WHY"}}
	for _, l := range lines {
		t.add(l.Time, l.Host, l.Message, l.What, l.Task, l.Run, l.Worker, strings.TrimSpace(strings.Join([]string{l.Kind, l.Why, l.Outcome}, " ")))
	}
	return t
}

// readLog returns the lines of a file that name an ID. Text before a line's JSON, such as a
// collector's prefix, is passed over.
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
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, id) {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte(text[at:]), &l); err != nil {
			continue // a line that was cut off, or of another program
		}
		lines = append(lines, l)
	}
	return lines, trace.Wrap(s.Err())
}
