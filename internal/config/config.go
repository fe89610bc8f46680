// Package config loads and checks the settings of a single process: its name,
// its place, the addresses on which it listens, and those of its peers and of
// the platform. They come from a YAML file; flags override it. Settings that
// apply to the whole estate are in package settings.
package config

// Process holds the settings that processes of every kind have.
type Process struct {
	// Name is unique among the processes of the estate.
	Name string `yaml:"name" long:"name" value-name:"NAME" description:"name of the process, unique in the estate"`
	// Region, DataCentre and Rack are the place where the process runs.
	Region     string `yaml:"region" long:"region" value-name:"NAME" description:"region in which the process runs"`
	DataCentre string `yaml:"datacentre" long:"datacentre" value-name:"NAME" description:"data centre in which the process runs"`
	Rack       string `yaml:"rack" long:"rack" value-name:"NAME" description:"rack in which the process runs"`
	// RPCListen is the address on which the process serves RPC to its peers.
	RPCListen string `yaml:"rpc_listen" long:"rpc-listen" value-name:"IP:PORT" description:"address for calls from the system's own processes"`
	// AdminListen is the address of metrics and readiness and, for a control
	// process, of the administration API.
	AdminListen string `yaml:"admin_listen" long:"admin-listen" value-name:"IP:PORT" description:"address for metrics, readiness and administration"`
	// Control lists the RPC addresses of control processes.
	Control []string `yaml:"control" long:"control" value-name:"IP:PORT" description:"rpc address of a control process (repeat for each)"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform" group:"Platform" namespace:"platform"`
	// Limits are the resources of the process.
	Limits Limits `yaml:"limits" group:"Limits" namespace:"limits"`
	// LogLevel is the lowest level that is logged; "" stands for info.
	LogLevel string `yaml:"log_level" long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged (default info)"`
}

// Platform holds the addresses of the platform's services as URLs.
type Platform struct {
	Table   string `yaml:"table" long:"table" value-name:"URL" description:"table service"`
	Objects string `yaml:"objects" long:"objects" value-name:"URL" description:"object store"`
	Hosts   string `yaml:"hosts" long:"hosts" value-name:"URL" description:"host list"`
	Workers string `yaml:"workers" long:"workers" value-name:"URL" description:"worker service"`
}

// Limits are the resources that a process may use. 0 stands for those of the machine.
type Limits struct {
	// MemoryMB is its memory in MiB, including buffers of the kernel.
	MemoryMB int `yaml:"memory_mb" long:"memory-mb" value-name:"MIB" description:"memory of the process (default that of the machine)"`
	// FileDescriptors is the number of its file descriptors.
	FileDescriptors int `yaml:"file_descriptors" long:"file-descriptors" value-name:"N" description:"file descriptors of the process (default the limit in force)"`
}

// MemoryBytes returns the memory in bytes, 0 if it is not stated.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// Entry holds the settings of an entry process.
type Entry struct {
	Process `yaml:",inline"`
	// Listen is the address on which the entry serves callers.
	Listen string `yaml:"listen" long:"listen" value-name:"IP:PORT" description:"address for callers"`
	// Peers lists the RPC addresses of other entry processes.
	Peers []string `yaml:"peers" long:"peer" value-name:"IP:PORT" description:"rpc address of another entry (repeat for each)"`
}

// Control holds the settings of a control process.
type Control struct {
	Process `yaml:",inline"`
}
