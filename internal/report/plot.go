package report

const (
	// plotWidth and plotHeight are the size of a plot in pixels.
	plotWidth  = 720.0
	plotHeight = 120.0
)

// Bar is one interval in a plot. Positions and sizes are in pixels from the top
// left corner.
type Bar struct {
	X, Width float64
	// BusyY and BusyHeight are the vertical position and size of the busy
	// hosts.
	BusyY, BusyHeight float64
	// SpareY and SpareHeight are those of the spare hosts, above the busy ones.
	SpareY, SpareHeight float64
	// Missing is true for an interval without a sample, which is drawn as a
	// gap.
	Missing bool
}

// Plot is a bar chart of a pool's busy and spare hosts over time.
type Plot struct {
	Width, Height float64
	// MaxHosts is the number of hosts at the top of the plot, at least 1.
	MaxHosts float64
	Bars     []Bar
}

// Plot returns the plot of the pool.
func (p PoolReport) Plot() Plot {
	plot := Plot{Width: plotWidth, Height: plotHeight, MaxHosts: 1}
	for _, point := range p.Series {
		plot.MaxHosts = max(plot.MaxHosts, point.Busy+point.Spare)
	}
	width := plotWidth / float64(max(len(p.Series), 1))
	scale := plotHeight / plot.MaxHosts
	for i, point := range p.Series {
		busy, spare := point.Busy*scale, point.Spare*scale
		plot.Bars = append(plot.Bars, Bar{
			X:           float64(i) * width,
			Width:       width,
			BusyY:       plotHeight - busy,
			BusyHeight:  busy,
			SpareY:      plotHeight - busy - spare,
			SpareHeight: spare,
			Missing:     point.Missing,
		})
	}
	return plot
}
