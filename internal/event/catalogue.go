package event

import "go.uber.org/zap/zapcore"

// All events, in ranges of a hundred for each subject: 100 process, 200
// routing, 300 links, 400 claims, 500 leases and membership, 600 settings,
// 700 pools and moves, 800 maintenance, 900 jobs, 1000 report.
var (
	ProcessStarted  = New(100, zapcore.InfoLevel, "process started")
	ProcessDraining = New(101, zapcore.InfoLevel, "process draining")
	ProcessStopped  = New(102, zapcore.InfoLevel, "process stopped")
	ProcessFailed   = New(103, zapcore.ErrorLevel, "process failed")

	RequestRouted         = New(200, zapcore.InfoLevel, "request routed")
	RequestRefused        = New(201, zapcore.InfoLevel, "request refused")
	RequestOutcomeUnknown = New(202, zapcore.WarnLevel, "request outcome unknown")
	RequestRetried        = New(203, zapcore.InfoLevel, "request sent again")
	HostSetAside          = New(204, zapcore.WarnLevel, "host set aside")
	HostRecovered         = New(205, zapcore.InfoLevel, "host serves again")

	LinkSilent = New(300, zapcore.WarnLevel, "link condemned as silent")

	ClaimRefused        = New(400, zapcore.WarnLevel, "claim refused")
	ClaimOutcomeUnknown = New(401, zapcore.WarnLevel, "claim unsettled")
	RequestUnclaimed    = New(402, zapcore.WarnLevel, "request forwarded without claim")
	ClaimsRemoved       = New(403, zapcore.InfoLevel, "old claims removed")

	ShardAcquired   = New(500, zapcore.InfoLevel, "shard acquired")
	ShardLost       = New(501, zapcore.WarnLevel, "shard lost")
	PermitLapsed    = New(502, zapcore.WarnLevel, "right to route lapsed")
	PermitStatic    = New(503, zapcore.WarnLevel, "routing on last assignment, table unreachable")
	PermitRegained  = New(504, zapcore.InfoLevel, "right to route regained")
	EntryRegistered = New(505, zapcore.InfoLevel, "entry registered")
	MemberJoined    = New(506, zapcore.InfoLevel, "member joined")
	MemberLost      = New(507, zapcore.WarnLevel, "member taken for dead")
	TableLost       = New(508, zapcore.WarnLevel, "table unreachable")
	ShardReleased   = New(509, zapcore.InfoLevel, "shard released")
	EntryIgnored    = New(510, zapcore.WarnLevel, "entry forgotten, its host is gone")

	SettingsAccepted = New(600, zapcore.InfoLevel, "settings accepted")
	SettingsAdopted  = New(601, zapcore.InfoLevel, "settings adopted")
	SettingsRefused  = New(602, zapcore.WarnLevel, "settings refused")
	SettingsInForce  = New(603, zapcore.InfoLevel, "settings in force everywhere")

	HostAssigned     = New(700, zapcore.InfoLevel, "host claimed for pool")
	MovePlanned      = New(701, zapcore.InfoLevel, "move intended")
	MoveCompleted    = New(702, zapcore.InfoLevel, "move completed")
	DrainBegun       = New(703, zapcore.InfoLevel, "drain begun")
	DrainFinished    = New(704, zapcore.InfoLevel, "drain finished")
	HostLost         = New(706, zapcore.WarnLevel, "host lost")
	HostReturned     = New(707, zapcore.InfoLevel, "host returned")
	HostListRejected = New(708, zapcore.WarnLevel, "host list not believed")
	PoolSized        = New(705, zapcore.InfoLevel, "pool sized")

	MaintenanceBegun = New(800, zapcore.InfoLevel, "maintenance begun")
	RebootAsked      = New(801, zapcore.InfoLevel, "reboot asked for")
	MaintenanceEnded = New(802, zapcore.InfoLevel, "maintenance ended")
	WavePaused       = New(803, zapcore.WarnLevel, "maintenance paused")
	WaveResumed      = New(804, zapcore.InfoLevel, "maintenance resumed")

	JobPlaced        = New(900, zapcore.InfoLevel, "job placed")
	JobWaits         = New(901, zapcore.InfoLevel, "job waits")
	JobImpossible    = New(902, zapcore.WarnLevel, "job cannot run")
	JobDropped       = New(903, zapcore.InfoLevel, "cancelled job dropped")
	TaskCheckpoint   = New(904, zapcore.InfoLevel, "task asked to checkpoint and stop")
	TaskThrottled    = New(905, zapcore.InfoLevel, "task throttled")
	TaskUnthrottled  = New(906, zapcore.InfoLevel, "task throttling ended")
	TaskStopped      = New(907, zapcore.InfoLevel, "task stopped")
	WorkerSetAside   = New(908, zapcore.WarnLevel, "worker set aside")
	TaskStarted      = New(909, zapcore.InfoLevel, "task started")
	JobChanged       = New(910, zapcore.InfoLevel, "job state changed")
	JobFailed        = New(911, zapcore.WarnLevel, "job failed")
	TaskLost         = New(912, zapcore.WarnLevel, "task lost")
	OrphanedRunFound = New(913, zapcore.WarnLevel, "task runs that should not")
	JobsLoaded       = New(914, zapcore.InfoLevel, "jobs of pool loaded")
)

// Events of jobs on the users' platform.
var (
	WorkerSeen           = New(920, zapcore.InfoLevel, "worker seen")
	WorkerUnlisted       = New(921, zapcore.InfoLevel, "worker no longer listed")
	WorkerDraining       = New(922, zapcore.InfoLevel, "worker draining")
	WorkerFenced         = New(923, zapcore.InfoLevel, "worker fenced")
	WorkerSilent         = New(924, zapcore.WarnLevel, "worker does not answer")
	WorkerReached        = New(925, zapcore.InfoLevel, "worker answers again")
	WorkerLost           = New(926, zapcore.WarnLevel, "worker's life is over")
	TaskPlaced           = New(927, zapcore.InfoLevel, "task placed")
	TaskEnded            = New(928, zapcore.InfoLevel, "task ended")
	TaskAdopted          = New(929, zapcore.InfoLevel, "task of a former owner taken over")
	StartUnanswered      = New(930, zapcore.WarnLevel, "start not answered")
	StartRefused         = New(931, zapcore.InfoLevel, "start refused")
	EngineSuperseded     = New(932, zapcore.WarnLevel, "worker obeys a later owner")
	TaskStalled          = New(934, zapcore.WarnLevel, "task stands still")
	TaskCopied           = New(935, zapcore.InfoLevel, "second run of a task")
	TaskThrottleChanged  = New(936, zapcore.InfoLevel, "task paced")
	Recommended          = New(937, zapcore.InfoLevel, "workers recommended")
	RecommendationFailed = New(938, zapcore.WarnLevel, "no recommendation")
	RecoveryEnded        = New(933, zapcore.InfoLevel, "recovery ended")
)

// Events of a process on the users' platform.
var (
	DependencyLost        = New(110, zapcore.WarnLevel, "dependency lost")
	DependencyRegained    = New(111, zapcore.InfoLevel, "dependency regained")
	OwnershipAcquired     = New(520, zapcore.InfoLevel, "control work taken")
	OwnershipNotAcquired  = New(521, zapcore.InfoLevel, "control work not taken")
	OwnershipLost         = New(522, zapcore.WarnLevel, "control work lost")
	OwnershipReleased     = New(523, zapcore.InfoLevel, "control work released")
	OwnershipLeaseExpired = New(524, zapcore.WarnLevel, "ownership not proved, no orders")
	OwnershipLeaseRenewed = New(525, zapcore.InfoLevel, "ownership proved again")
	CatalogAdopted        = New(620, zapcore.InfoLevel, "configuration adopted")
	RequestAnswered       = New(210, zapcore.InfoLevel, "request answered")
	RowUnreadable         = New(112, zapcore.WarnLevel, "row unreadable")
)

// CommitUnconfirmed tells of a transaction without a known outcome.
var CommitUnconfirmed = New(526, zapcore.WarnLevel, "progress not known to be recorded")

// SettingsKept tells of a signal to read the settings file again.
var SettingsKept = New(104, zapcore.InfoLevel, "settings file changed, settings kept")

// Events of orders about hosts.
var (
	HostMoveOrdered        = New(710, zapcore.InfoLevel, "host ordered to another pool")
	HostMaintenanceOrdered = New(810, zapcore.InfoLevel, "host ordered down for maintenance")
	HostEvacuation         = New(812, zapcore.InfoLevel, "host is emptied for maintenance")
	WaveReported           = New(811, zapcore.InfoLevel, "wave reported as completed")
)
