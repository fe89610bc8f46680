package report

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed report.html
var pageSource string

// page is the template of the HTML report. It refers to no external resource,
// so that the page can be mailed and archived.
var page = template.Must(template.New("report").Funcs(template.FuncMap{"stamp": stamp}).Parse(pageSource))

// WriteHTML writes the report as one self-contained page.
func WriteHTML(w io.Writer, r Report) error {
	return page.Execute(w, r)
}
