package command

import (
	"os"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/operr"
)

const reportHelp = `Shows the capacity report: how much spare capacity was held, what it cost and what it was used for.

Examples:
  egretpitch report
  egretpitch report --html report.html
  egretpitch report --output json`

// reportMode is the file mode of a report file.
const reportMode = 0o644

// reportCommand is `report`.
type reportCommand struct {
	app  *app
	HTML string `long:"html" value-name:"FILE" description:"write a self-contained HTML page"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	client, err := c.app.client()
	if err != nil {
		return err
	}
	media := adminapi.MediaText
	switch {
	case c.HTML != "":
		media = adminapi.MediaHTML
	case c.app.json():
		media = adminapi.MediaJSON
	}
	data, err := client.Report(c.app.ctx, media)
	if err != nil {
		return err
	}
	if c.HTML == "" {
		return c.app.printf("%s", data)
	}
	if err := os.WriteFile(c.HTML, data, reportMode); err != nil {
		return operr.Wrap(err, "command: write report", "")
	}
	if c.app.json() {
		return c.app.printJSON(struct {
			File  string `json:"file"`
			Bytes int    `json:"bytes"`
		}{c.HTML, len(data)})
	}
	return c.app.printf("report written to %s\n", c.HTML)
}
