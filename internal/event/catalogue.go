package event

import "go.uber.org/zap/zapcore"

// Each subject has a range of a hundred numbers: 100 process, 200 routing, 300
// links to upstreams, 400 claims of request keys, 500 ownership, permits and
// membership, 600 settings, 700 pools and host moves, 800 maintenance, 900 jobs
// and tasks, 1000 report.
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

	LinkSilent = New(300, zapcore.WarnLevel, "upstream connection unresponsive")

	ClaimRefused        = New(400, zapcore.WarnLevel, "claim refused")
	ClaimOutcomeUnknown = New(401, zapcore.WarnLevel, "claim outcome unknown")
	RequestUnclaimed    = New(402, zapcore.WarnLevel, "request forwarded without claim")
	ClaimsRemoved       = New(403, zapcore.InfoLevel, "old claims removed")

	ShardAcquired   = New(500, zapcore.InfoLevel, "shard acquired")
	ShardLost       = New(501, zapcore.WarnLevel, "shard lost")
	PermitLapsed    = New(502, zapcore.WarnLevel, "permit to route lapsed")
	PermitStatic    = New(503, zapcore.WarnLevel, "routing on last assignment, table unreachable")
	PermitRegained  = New(504, zapcore.InfoLevel, "permit to route regained")
	EntryRegistered = New(505, zapcore.InfoLevel, "entry registered")
	MemberJoined    = New(506, zapcore.InfoLevel, "member joined")
	MemberLost      = New(507, zapcore.WarnLevel, "member presumed dead")
	TableLost       = New(508, zapcore.WarnLevel, "table unreachable")
	ShardReleased   = New(509, zapcore.InfoLevel, "shard released")
	EntryIgnored    = New(510, zapcore.WarnLevel, "entry ignored, its host is no longer listed")

	SettingsAccepted = New(600, zapcore.InfoLevel, "settings accepted")
	SettingsAdopted  = New(601, zapcore.InfoLevel, "settings adopted")
	SettingsRefused  = New(602, zapcore.WarnLevel, "settings refused")
	SettingsInForce  = New(603, zapcore.InfoLevel, "settings in force everywhere")

	HostAssigned     = New(700, zapcore.InfoLevel, "host assigned to pool")
	MovePlanned      = New(701, zapcore.InfoLevel, "move planned")
	MoveCompleted    = New(702, zapcore.InfoLevel, "move completed")
	DrainBegun       = New(703, zapcore.InfoLevel, "drain begun")
	DrainFinished    = New(704, zapcore.InfoLevel, "drain finished")
	HostLost         = New(706, zapcore.WarnLevel, "host lost")
	HostReturned     = New(707, zapcore.InfoLevel, "host returned")
	HostListRejected = New(708, zapcore.WarnLevel, "host list rejected as implausible")
	PoolSized        = New(705, zapcore.InfoLevel, "pool sized")

	MaintenanceBegun = New(800, zapcore.InfoLevel, "maintenance begun")
	RebootAsked      = New(801, zapcore.InfoLevel, "reboot requested")
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
	OrphanedRunFound = New(913, zapcore.WarnLevel, "orphaned run found")
	JobsLoaded       = New(914, zapcore.InfoLevel, "jobs of pool loaded")
)

// Events of the task scheduler on the users' platform.
var (
	WorkerSeen           = New(920, zapcore.InfoLevel, "worker seen")
	WorkerUnlisted       = New(921, zapcore.InfoLevel, "worker no longer listed")
	WorkerDraining       = New(922, zapcore.InfoLevel, "worker draining")
	WorkerFenced         = New(923, zapcore.InfoLevel, "worker fenced")
	WorkerSilent         = New(924, zapcore.WarnLevel, "worker does not answer")
	WorkerReached        = New(925, zapcore.InfoLevel, "worker answers again")
	WorkerLost           = New(926, zapcore.WarnLevel, "worker incarnation ended")
	TaskPlaced           = New(927, zapcore.InfoLevel, "task placed")
	TaskEnded            = New(928, zapcore.InfoLevel, "task ended")
	TaskAdopted          = New(929, zapcore.InfoLevel, "task of a previous owner adopted")
	StartUnanswered      = New(930, zapcore.WarnLevel, "start not answered")
	StartRefused         = New(931, zapcore.InfoLevel, "start refused")
	EngineSuperseded     = New(932, zapcore.WarnLevel, "superseded by a later owner")
	TaskStalled          = New(934, zapcore.WarnLevel, "task stalled")
	TaskCopied           = New(935, zapcore.InfoLevel, "second run of a task")
	TaskThrottleChanged  = New(936, zapcore.InfoLevel, "task throttle changed")
	Recommended          = New(937, zapcore.InfoLevel, "workers recommended")
	RecommendationFailed = New(938, zapcore.WarnLevel, "no recommendation")
	PollUnanswered       = New(939, zapcore.WarnLevel, "poll not answered")
	EndIgnored           = New(940, zapcore.WarnLevel, "end ignored")
	TaskWithoutRun       = New(941, zapcore.WarnLevel, "long-running task has no run")
	StartsHeld           = New(942, zapcore.WarnLevel, "starts held, what they rely on is too old")
	StartsResumed        = New(943, zapcore.InfoLevel, "starts resumed")
	CrashCounted         = New(944, zapcore.WarnLevel, "worker crash counted against a task")
	SuspectIsolated      = New(945, zapcore.InfoLevel, "suspect task started apart from others")
	TaskGivenUp          = New(946, zapcore.WarnLevel, "task given up")
	TaskRestarted        = New(947, zapcore.InfoLevel, "long-running task starts again")
	CancelledRunsEnded   = New(948, zapcore.InfoLevel, "last run of a cancelled job ended")
	StopOverdue          = New(949, zapcore.WarnLevel, "run is still there long after its job was cancelled")
	ImageObserved        = New(950, zapcore.InfoLevel, "runs of an image observed")
	QueueObserved        = New(951, zapcore.InfoLevel, "runs of a queue observed")
	SlowestWorkers       = New(952, zapcore.InfoLevel, "slowest workers observed")
	WorkerSlow           = New(953, zapcore.WarnLevel, "worker is slow")
	WorkerSpeedNormal    = New(954, zapcore.InfoLevel, "worker is as fast as others again")
	InterferenceKnown    = New(955, zapcore.InfoLevel, "images slow each other")
	ServingNearTarget    = New(956, zapcore.InfoLevel, "serving task near its target")
	StartedBesideKnown   = New(957, zapcore.InfoLevel, "task started beside a known neighbour")
	RestartPaused        = New(958, zapcore.WarnLevel, "next start of a task delayed")
	TeamWaits            = New(980, zapcore.InfoLevel, "team waits for its quota")
	TeamWaitEnded        = New(981, zapcore.InfoLevel, "team no longer waits for its quota")
	RecoveryEnded        = New(933, zapcore.InfoLevel, "recovery ended")
)

// Events of an egretpitch-node process on the users' platform.
var (
	DependencyLost        = New(110, zapcore.WarnLevel, "dependency lost")
	DependencyRegained    = New(111, zapcore.InfoLevel, "dependency regained")
	OwnershipAcquired     = New(520, zapcore.InfoLevel, "control work acquired")
	OwnershipNotAcquired  = New(521, zapcore.InfoLevel, "control work not acquired")
	OwnershipLost         = New(522, zapcore.WarnLevel, "control work lost")
	OwnershipReleased     = New(523, zapcore.InfoLevel, "control work released")
	OwnershipLeaseExpired = New(524, zapcore.WarnLevel, "ownership lease expired, orders suspended")
	OwnershipLeaseRenewed = New(525, zapcore.InfoLevel, "ownership lease renewed")
	CatalogAdopted        = New(620, zapcore.InfoLevel, "configuration adopted")
	RequestAnswered       = New(210, zapcore.InfoLevel, "request answered")
	RowUnreadable         = New(112, zapcore.WarnLevel, "row unreadable")
)

// Events of the acceptance of jobs while the table service is unstable or pools are
// full.
var (
	StoreUnresponsive        = New(990, zapcore.WarnLevel, "table service has stopped answering, submissions held")
	StoreAnswers             = New(991, zapcore.InfoLevel, "table service answers again, submissions resumed")
	SubmissionUnresolved     = New(992, zapcore.WarnLevel, "submission without an answer")
	SubmissionResolved       = New(993, zapcore.InfoLevel, "submission without an answer resolved")
	SubmissionRefusedForLoad = New(994, zapcore.InfoLevel, "submission refused, pool is full")
)

// CommitUnconfirmed is logged when a transaction that records the progress of
// jobs got no answer or was refused.
var CommitUnconfirmed = New(526, zapcore.WarnLevel, "progress commit unconfirmed")

// Events of the hand-over from a host with too little processor time.
var (
	OwnershipOffered    = New(527, zapcore.InfoLevel, "offered to take the control work over")
	OwnershipHandedOver = New(528, zapcore.InfoLevel, "control work handed over to a larger host")
	RecordsMoved        = New(529, zapcore.InfoLevel, "records of an earlier release read")
)

// Events of the configuration's teams and versions.
var (
	CatalogProblem = New(970, zapcore.WarnLevel, "configuration contradicts itself")
	CatalogIgnored = New(971, zapcore.WarnLevel, "configuration ignored, a later one was in force")
)

// SettingsKept is logged when a process is told to reload its settings file
// (SIGHUP) and the changes need a restart to take effect.
var SettingsKept = New(104, zapcore.InfoLevel, "settings file changed, settings kept")

// Events of the planner's orders for hosts.
var (
	HostMoveOrdered        = New(710, zapcore.InfoLevel, "host ordered to another pool")
	HostMaintenanceOrdered = New(810, zapcore.InfoLevel, "host maintenance ordered")
	WorkerReserved         = New(711, zapcore.InfoLevel, "worker reservation changed")
	HostEvacuation         = New(812, zapcore.InfoLevel, "host evacuation for maintenance started")
	WaveReported           = New(811, zapcore.InfoLevel, "wave reported as completed")
)

// Events of the limits on clients (package intake).
var (
	IntakeLimits = New(960, zapcore.WarnLevel, "clients are limited")
	IntakeNormal = New(961, zapcore.InfoLevel, "clients are no longer limited")
)
