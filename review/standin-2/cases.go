package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	service     = "kano-orders"
	prefix      = "/orders/"
	maxAttempts = 2
	cores       = 64000
	memMB       = 131072
	// readyWithin is how long the processes may take until they accept a job.
	readyWithin = 15 * time.Second
	// crashDowntime is how long a worker is down after a crash.
	crashDowntime = 4 * time.Second
)

// deploy starts three processes and the given number of workers, four to a rack,
// and waits until a first job is done.
func deploy(o *world, workers int) error {
	o.configure(4, []route{{"r-orders", prefix, service, maxAttempts}}, []string{service})
	for i := range workers {
		if _, err := o.addMachine(service, fmt.Sprintf("r1-%d", i/4), cores, memMB); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := o.addNode(i + 1); err != nil {
			return err
		}
	}
	id := newJobID()
	accepted := waitFor(readyWithin, func() bool {
		a, err := o.call(o.nodes[0], http.MethodPost, prefix+id, jobOf(1, spec{MS: 100, CPU: 1000, MemMB: 100}, nil))
		time.Sleep(200 * time.Millisecond)
		return err == nil && a.status/100 == 2
	})
	if !accepted || !waitFor(readyWithin, func() bool { time.Sleep(200 * time.Millisecond); return o.state(prefix, id) == "completed" }) {
		return errors.New("the first job is not done")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// jobOf returns a job of one step.
func jobOf(count int, s spec, more map[string]any) map[string]any {
	step := map[string]any{"count": count, "cpu": s.CPU, "mem_mb": s.MemMB, "estimated_ms": s.MS}
	for k, v := range more {
		step[k] = v
	}
	return map[string]any{"task_spec": encode(s), "steps": []any{step}}
}

func encode(s spec) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // a spec can be encoded
	}
	return string(data)
}

// machineOf returns the machine of a worker that is up, nil if it is not.
func (o *world) machineOf(w *worker) *machine {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.machine.worker == w {
		return w.machine
	}
	return nil
}

// latest returns the latest run of a task that a worker has begun.
func (o *world) latest(task string) (started, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.starts[task]
	if len(list) == 0 {
		return started{}, false
	}
	return list[len(list)-1], true
}

// falselyFailed returns why a job that is shown as failed is shown so without cause:
// fewer runs of its tasks than max_attempts have ended failed.
func (o *world) falselyFailed(job string) string {
	if o.state(prefix, job) != "failed" {
		return ""
	}
	ends := o.endsOf(job)
	if ends["failed"] >= maxAttempts {
		return ""
	}
	return fmt.Sprintf("job %s is shown as failed; workers have begun %d runs of it, which ended %v", job, o.startsOf(job), ends)
}

// crashes lets one task of a job that lasts lose its worker a few times, one worker at
// a time, and looks for orders that end its other tasks.
func crashes(o *world, trouble bool) (verdict, error) {
	const tasks, mayMiss, workersLost = 5, 1, 3
	if err := deploy(o, 9); err != nil {
		return verdict{}, err
	}
	job := newJobID()
	body := jobOf(tasks, spec{MS: 500, Lasts: true, CPU: 5200, MemMB: 9700}, map[string]any{"long_running": true, "anti_affinity": 1, "max_unavailable": mayMiss})
	if !o.submit(prefix, job, body) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return len(o.atWork(job)) == tasks }) {
		return verdict{}, errors.New("the tasks don't start")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		o.loseWorkers(job+".0.0.0", workersLost, 250*time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	state, ends, running := o.state(prefix, job), o.endsOf(job), len(o.atWork(job))
	why := fmt.Sprintf("the job is shown as %s; its runs have ended %v, by orders of the system where they are stopped; %d of %d tasks run 20 s after the last crash", state, ends, running, tasks)
	return verdict{ends["stopped"] > mayMiss, why}, nil
}

// loseWorkers crashes the worker of a task n times, each time some time after it has
// begun the task. The worker starts again, empty and with a new id, some seconds later.
func (o *world) loseWorkers(task string, n int, after time.Duration) {
	seen := map[*worker]bool{}
	for range n {
		var run started
		found := waitFor(10*time.Second, func() bool {
			var ok bool
			run, ok = o.latest(task)
			return ok && !seen[run.worker]
		})
		if !found {
			return // it runs nowhere any more
		}
		seen[run.worker] = true
		time.Sleep(time.Until(run.at.Add(after)))
		if m := o.machineOf(run.worker); m != nil {
			o.crash(m)
			time.AfterFunc(crashDowntime, func() { _ = o.boot(m, "") }) // a worker less if it fails
		}
	}
}

// rebooted lets the idle workers of one rack after the other crash and start again at
// once, and hands jobs in right after that.
func rebooted(o *world, trouble bool) (verdict, error) {
	const racks, rounds, jobsEach = 3, 3, 3
	if err := deploy(o, 4*racks); err != nil {
		return verdict{}, err
	}
	var jobs []string
	for i := range racks * rounds {
		<-o.listed
		if trouble {
			o.rebootRack(fmt.Sprintf("r1-%d", i%racks), 100*time.Millisecond)
		}
		for range jobsEach {
			id := newJobID()
			if !o.submit(prefix, id, jobOf(6, spec{MS: 800, CPU: 3500, MemMB: 3600}, nil)) {
				return verdict{}, errors.New("a job was not accepted")
			}
			jobs = append(jobs, id)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
	}
	time.Sleep(5 * time.Second)
	var broken []string
	for _, job := range jobs {
		if why := o.falselyFailed(job); why != "" {
			broken = append(broken, why)
		}
	}
	if len(broken) > 0 {
		return verdict{true, strings.Join(broken, "; ")}, nil
	}
	return verdict{false, fmt.Sprintf("none of %d jobs is shown as failed", len(jobs))}, nil
}

// rebootRack crashes the workers of a rack. They start again, empty and with new ids
// at the addresses that they had.
func (o *world) rebootRack(rack string, downtime time.Duration) {
	var down []*machine
	o.mu.Lock()
	for _, m := range o.machines {
		if m.worker != nil && m.rack == rack {
			down = append(down, m)
		}
	}
	o.mu.Unlock()
	for _, m := range down {
		o.crash(m)
	}
	time.Sleep(downtime)
	for _, m := range down {
		if err := o.boot(m, ""); err != nil {
			o.note("a worker does not start again: %v", err)
		}
	}
}

// largeJobs lets a client hand in many jobs with large bodies at once, and an ordinary
// client jobs of one task. As the platform does, it kills a process that takes more
// than the memory of its machine, and starts it again a second later.
func largeJobs(o *world, trouble bool) (verdict, error) {
	const jobs, steps, tasks, bodyBytes, ordinary = 80, 100, 200, 200 << 10, 15
	if err := deploy(o, 4); err != nil {
		return verdict{}, err
	}
	guard := o.guardMemory()
	accepted := 0
	if trouble {
		list := make([]any, steps)
		for i := range list {
			list[i] = map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 100, "estimated_ms": 500, "requirements": "no-such-label"}
		}
		body, err := json.Marshal(map[string]any{"task_spec": encode(spec{MS: 500}), "steps": list})
		if err != nil {
			return verdict{}, err
		}
		body = append(body, strings.Repeat(" ", bodyBytes-len(body))...) // JSON permits white space
		answers := make(chan bool, jobs)
		for range jobs {
			go func() { answers <- o.submit(prefix, newJobID(), json.RawMessage(body)) }()
		}
		for range jobs {
			if <-answers {
				accepted++
			}
		}
		o.note("%d of %d large jobs are accepted", accepted, jobs)
	}
	done := 0
	for range ordinary {
		id := newJobID()
		if o.submit(prefix, id, jobOf(1, spec{MS: 100, CPU: 1000, MemMB: 100}, nil)) &&
			waitFor(2*time.Second, func() bool { time.Sleep(200 * time.Millisecond); return o.state(prefix, id) == "completed" }) {
			done++
		}
	}
	kills, peak := guard()
	why := fmt.Sprintf("%d large jobs accepted; processes took up to %d MB of %d and were killed %d times for it; %d of %d ordinary jobs were done within 2 s",
		accepted, peak, memoryLimitMB, kills, done, ordinary)
	return verdict{kills > 0, why}, nil
}

// silent makes all open connections to the platform and its workers silent, once,
// while new ones work, and counts the tasks that last whose leases lapse later.
func silent(o *world, trouble bool) (verdict, error) {
	const tasks, mayMiss, usual, after = 5, 1, 5 * time.Second, 14 * time.Second
	if err := deploy(o, 9); err != nil {
		return verdict{}, err
	}
	job := newJobID()
	body := jobOf(tasks, spec{MS: 500, Lasts: true, CPU: 5200, MemMB: 9700}, map[string]any{"long_running": true, "anti_affinity": 1, "max_unavailable": mayMiss})
	if !o.submit(prefix, job, body) {
		return verdict{}, errors.New("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return len(o.atWork(job)) == tasks }) {
		return verdict{}, errors.New("the tasks don't start")
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go o.usualTraffic(stop, stopped)
	time.Sleep(usual)
	silentAt := time.Now()
	if trouble {
		o.silence()
	}
	time.Sleep(after)
	close(stop)
	<-stopped
	lapsed := o.lapsedAfter(job, silentAt.Add(contactTime))
	return verdict{lapsed > mayMiss, fmt.Sprintf("the leases of %d of %d tasks that last lapsed more than %v after the connections went silent; the workers were up and reachable",
		lapsed, tasks, contactTime)}, nil
}

// contactTime is contact_ms of the settings.
const contactTime = 3 * time.Second

// usualTraffic hands in some sixteen jobs a second until stop is closed.
func (o *world) usualTraffic(stop, stopped chan struct{}) {
	defer close(stopped)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		o.submitAt(i, prefix, newJobID(), jobOf(6, spec{MS: 800, CPU: 3500, MemMB: 3600}, nil))
	}
}

// lapsedAfter counts the tasks of a job whose leases have lapsed after a time.
func (o *world) lapsedAfter(job string, after time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for task, at := range o.lapses {
		if strings.HasPrefix(task, job+".") && at.After(after) {
			n++
		}
	}
	return n
}

// manyRows lets a client hand in many jobs with large bodies at once, and an ordinary
// client a job that lasts some seconds later.
func manyRows(o *world, trouble bool) (verdict, error) {
	const jobs, imageBytes, bodyBytes = 900, 45 << 10, 200 << 10
	// The tasks of a job that lasts may be without a run for a while: 6 s, and 3 s
	// with capacity for them, after 4 s of calm.
	const calm, within = 4 * time.Second, 9 * time.Second
	if err := deploy(o, 4); err != nil {
		return verdict{}, err
	}
	if trouble {
		body, err := json.Marshal(jobOf(1, spec{MS: 500}, map[string]any{"requirements": "no-such-label", "image": strings.Repeat("x", imageBytes)}))
		if err != nil {
			return verdict{}, err
		}
		body = append(body, strings.Repeat(" ", bodyBytes-len(body))...) // JSON permits white space
		answers := make(chan bool, jobs)
		for i := range jobs {
			go func() { answers <- o.submitAt(i, prefix, newJobID(), json.RawMessage(body)) }()
		}
		accepted := 0
		for range jobs {
			if <-answers {
				accepted++
			}
		}
		o.note("%d of %d large jobs are accepted", accepted, jobs)
	}
	time.Sleep(calm)
	job := newJobID()
	if !o.submit(prefix, job, jobOf(3, spec{MS: 500, Lasts: true, CPU: 5200, MemMB: 9700}, map[string]any{"long_running": true})) {
		return verdict{}, errors.New("the job was not accepted")
	}
	began := time.Now()
	waitFor(40*time.Second, func() bool { time.Sleep(20 * time.Millisecond); return len(o.atWork(job)) == 3 })
	took := time.Since(began)
	return verdict{took > within, fmt.Sprintf("the tasks of a job that lasts run %.1f s after it was accepted", took.Seconds())}, nil
}
