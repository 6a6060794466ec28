package gooseberryctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

const (
	columnGap = 2
)

// print writes value as JSON, or the rows as a table.
func (o *output) print(value any, header []string, rows [][]string) error {
	if o.json {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return eris.Wrap(e.Encode(value), "print")
	}
	w := tabwriter.NewWriter(o.out, 0, 0, columnGap, ' ', 0)
	if len(rows) > 0 {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return eris.Wrap(w.Flush(), "print")
}

// line writes one line of text, unless JSON is wanted.
func (o *output) line(format string, args ...any) {
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

func list(items []string) string {
	return orDash(strings.Join(items, ","))
}
