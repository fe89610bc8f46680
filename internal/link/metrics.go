package link

import "expvar"

// Counters of this process: connection attempts, attempts that failed, probes
// sent, connections found silent, and answers with the ID of another request.
var (
	dials          = expvar.NewInt("egretpitch_link_dials")
	failedDials    = expvar.NewInt("egretpitch_link_failed_dials")
	probesSent     = expvar.NewInt("egretpitch_link_probes")
	silentConns    = expvar.NewInt("egretpitch_link_silent")
	crossedAnswers = expvar.NewInt("egretpitch_link_crossed_answers")
)
