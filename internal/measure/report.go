package measure

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the result as a Markdown table: a row for each sample,
// and rows for the bases and the slopes of the fitted lines.
func (r *Result) WriteMarkdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n| size (%s) |", r.Series.Name, r.Series.Unit)
	for _, q := range quantities {
		fmt.Fprintf(w, " %s |", q)
	}
	fmt.Fprintf(w, "\n|---|%s\n", strings.Repeat("---|", len(quantities)))
	for i, size := range r.Sizes {
		fmt.Fprintf(w, "| %d |", size)
		for _, q := range quantities {
			fmt.Fprintf(w, " %.3g |", r.Samples[i].value(q))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "| **base** |")
	for _, q := range quantities {
		fmt.Fprintf(w, " %.3g |", r.Fits[q].Base)
	}
	fmt.Fprintf(w, "\n| **slope ± error (R²)** |")
	for _, q := range quantities {
		f := r.Fits[q]
		fmt.Fprintf(w, " %.3g ± %.2g (%.2f) |", f.Slope, f.SlopeError, f.R2)
	}
	fmt.Fprint(w, "\n\n")
}
