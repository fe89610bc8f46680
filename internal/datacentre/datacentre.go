// Package datacentre defines the location of hosts by region, data centre and
// rack, and the distance between locations.
package datacentre

import "time"

// Place is the location of a host or process.
type Place struct {
	// Region is the name of the region.
	Region string `json:"region"`
	// DataCentre is the name of the data centre.
	DataCentre string `json:"datacentre"`
	// Rack is the name of the rack, unique within the estate.
	Rack string `json:"rack"`
}

// Link is the network path between two data centres.
type Link struct {
	From, To string
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
}

// Nearness ranks the distance between two places; a lower rank is nearer: 0 in
// the same rack, 1 in the same data centre, 2 in the same region, 3 otherwise.
// Places without a rack are never in the same rack.
func Nearness(a, b Place) int {
	switch {
	case a.DataCentre == b.DataCentre && a.Rack == b.Rack && a.Rack != "":
		return 0
	case a.DataCentre == b.DataCentre:
		return 1
	case a.Region == b.Region:
		return 2
	}
	return 3
}
