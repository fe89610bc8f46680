// Package settings parses, checks and compares the settings tree that operators
// edit: estate, region, pool, service. Each level inherits the values of its
// parent unless it overrides them.
package settings

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/contract"
	"github.com/egretpitch/egretpitch/internal/datacentre"
)

// Tree is the settings tree as the operator wrote it, before inheritance.
type Tree struct {
	// Estate is the name of the estate.
	Estate string `yaml:"estate"`
	// Settings apply to the whole estate unless a lower level overrides them.
	Settings Values `yaml:"settings,omitempty"`
	// Teams own services and jobs.
	Teams []Team `yaml:"teams,omitempty"`
	// DataCentres lists the data centres with their racks and hosts.
	DataCentres []DataCentre `yaml:"datacentres"`
	Regions     []Region     `yaml:"regions"`
}

// Team owns services and jobs and has a quota.
type Team struct {
	Name string `yaml:"name"`
	// Processors, MemoryMB and Accelerators limit what the running jobs of the
	// team use at once; 0 means no limit.
	Processors   int `yaml:"processors,omitempty"`
	MemoryMB     int `yaml:"memory_mb,omitempty"`
	Accelerators int `yaml:"accelerators,omitempty"`
}

// DataCentre is a data centre with its racks.
type DataCentre struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// Racks maps each rack to its hosts, as names or ranges ("kano-[01-04]").
	Racks map[string][]string `yaml:"racks"`
}

// Region is a group of pools.
type Region struct {
	Name     string `yaml:"name"`
	Settings Values `yaml:"settings,omitempty"`
	Pools    []Pool `yaml:"pools"`
}

// Pool is a set of hosts that serve the same services.
type Pool struct {
	Name     string `yaml:"name"`
	Settings Values `yaml:"settings,omitempty"`
	// Spare marks the pool that lends its hosts to others. An estate has
	// exactly one.
	Spare bool `yaml:"spare,omitempty"`
	// Hosts are the initial hosts of the pool, as names or ranges.
	Hosts    []string  `yaml:"hosts"`
	Services []Service `yaml:"services,omitempty"`
}

// Service is the unit that callers address: the first segment of a request's
// path.
type Service struct {
	Name     string `yaml:"name"`
	Team     string `yaml:"team,omitempty"`
	Settings Values `yaml:"settings,omitempty"`
}

// Values are the settings of one level; nil means inherited. The yaml key of
// each field is its name in messages and in `settings show`.
type Values struct {
	Availability    *float64               `yaml:"availability,omitempty"`
	Deadline        *time.Duration         `yaml:"deadline,omitempty"`
	Priority        *int                   `yaml:"priority,omitempty"`
	Idempotent      *bool                  `yaml:"idempotent,omitempty"`
	KeyOutage       *contract.OutagePolicy `yaml:"key_outage,omitempty"`
	RetryBudget     *float64               `yaml:"retry_budget,omitempty"`
	MaxBodyBytes    *int64                 `yaml:"max_body_bytes,omitempty"`
	HeldAnswerBytes *int64                 `yaml:"held_answer_bytes,omitempty"`
	// The values below may not be set for a service.
	BufferWeight      *float64       `yaml:"buffer_weight,omitempty"`
	MoveWeight        *float64       `yaml:"move_weight,omitempty"`
	MinStay           *time.Duration `yaml:"min_stay,omitempty"`
	MinHosts          *int           `yaml:"min_hosts,omitempty"`
	MaxUnavailable    *int           `yaml:"max_unavailable,omitempty"`
	MaintenancePeriod *time.Duration `yaml:"maintenance_period,omitempty"`
	DrainTimeout      *time.Duration `yaml:"drain_timeout,omitempty"`
	ReturnTimeout     *time.Duration `yaml:"return_timeout,omitempty"`
	// RoutingLogSample is the fraction of routing decisions that are logged (0
	// to 1).
	RoutingLogSample *float64 `yaml:"routing_log_sample,omitempty"`
}

// PoolValues are the effective settings of a pool.
type PoolValues struct {
	Pool   string
	Region string
	Spare  bool
	Hosts  []string
	// BufferWeight is the cost of one idle host for an hour.
	BufferWeight float64
	// MoveWeight is the cost of moving one host.
	MoveWeight float64
	// MinStay is the minimum time that a host stays in a pool.
	MinStay time.Duration
	// MinHosts is the minimum number of serving hosts.
	MinHosts int
	// MaxUnavailable is the maximum number of hosts that are out of service for
	// maintenance at once.
	MaxUnavailable int
	// MaintenancePeriod is the time within which every host is maintained once.
	MaintenancePeriod time.Duration
	// DrainTimeout is how long a drain may take before it is reported.
	DrainTimeout time.Duration
	// ReturnTimeout is how long a rebooted host may be absent before its wave
	// continues without it.
	ReturnTimeout    time.Duration
	RoutingLogSample float64
	// Availability is the highest availability among the pool's services.
	Availability float64
}

// Level is a level of the tree at which a value can be set.
type Level string

const (
	LevelDefault Level = "default"
	LevelEstate  Level = "estate"
	LevelRegion  Level = "region"
	LevelPool    Level = "pool"
	LevelService Level = "service"
)

// Effective holds the settings of a tree after inheritance.
type Effective struct {
	Estate string
	// Services holds the contract of each service by name.
	Services map[string]*contract.Contract
	// Pools holds the effective settings of each pool by name.
	Pools map[string]*PoolValues
	// Spare is the name of the spare pool.
	Spare string
	// Teams holds the teams by name.
	Teams map[string]Team
	// HomePool maps each host to its initial pool.
	HomePool map[string]string
	// Places maps each host to its region, data centre and rack.
	Places map[string]datacentre.Place
}
