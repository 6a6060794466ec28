package gooseberryctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const (
	columnPadding = 2
)

// print writes value as JSON if --json is set, and the rows as a table otherwise. A table without rows has no header.
func (o *output) print(value any, header []string, rows [][]string) error {
	if o.json {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return eris.Wrap(e.Encode(value), "print")
	}
	w := tabwriter.NewWriter(o.out, 0, 0, columnPadding, ' ', 0)
	if len(rows) > 0 {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return eris.Wrap(w.Flush(), "print")
}

// printLine writes a line of text. It writes nothing if --json is set.
func (o *output) printLine(format string, args ...any) {
	if !o.json {
		fmt.Fprintf(o.out, format+"\n", args...)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// joinOrDash returns the items joined by commas, or a dash if there are none.
func joinOrDash(items []string) string {
	return orDash(strings.Join(items, ","))
}
