//! Timeouts and limits of the owner.

use hyssop_core::Millis;

use crate::AdviceCost;

/// Lease of a worker from the moment its agent requests a renewal. It covers the restart of an
/// agent, which takes about a second, with two renewals to spare, and is below the smallest limit
/// that a worker sets for its leases (6 s).
pub const WORKER_LEASE: Millis = Millis(4_000);

/// Age of the last confirmation of ownership up to which an owner starts tasks and renews leases.
/// With a shorter one, each store outage of a few seconds would stop all work.
pub const MAX_CONFIRMATION_AGE: Millis = Millis(4_000);

/// Time after a renewal of the ownership within which no other process can have claimed it. Other
/// entries wait 1.8 s; the difference covers clock rates that differ by 2%.
pub const RENEWAL_VALIDITY: Millis = Millis(1_700);

/// Time for which a proof of the ownership must remain valid when a call is sent that a later owner
/// could contradict. It is the connect timeout of the client of such calls.
pub(crate) const CALL_CONNECT_MARGIN: Millis = Millis(500);

/// Maximum time that a request waits for a confirmation of the ownership. A store that is well
/// confirms it within 20 ms after a freeze, and one that is slow within half a second.
pub(crate) const CONFIRMATION_WAIT: Millis = Millis(300);

/// Time between two ticks from which the process counts as having stood still. Ticks are at most 50
/// ms apart.
pub(crate) const MAX_TICK_GAP: Millis = Millis(500);

/// Allowance for different clock rates (2%) and late timers (100 ms) over `MAX_CONFIRMATION_AGE +
/// WORKER_LEASE`.
pub(crate) const CLOCK_ERROR_MARGIN: Millis = Millis(300);

/// Time that a new owner waits for a worker that it cannot reach. The previous owner may have
/// renewed the worker's lease until `MAX_CONFIRMATION_AGE` after the new owner's election.
pub const TAKEOVER_WAIT: Millis =
    Millis(MAX_CONFIRMATION_AGE.0 + WORKER_LEASE.0 + CLOCK_ERROR_MARGIN.0);

/// Speed of the slowest clock that a worker may have, in percent of real time.
pub const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// Returns the real time in which the slowest clock that a worker may have advances by a time.
#[must_use]
pub const fn slowest_time(clock: Millis) -> Millis {
    Millis(clock.0.saturating_mul(100) / SLOWEST_CLOCK_PERCENT)
}

/// Returns the longest real time for which a lease may last. `max_lease` is the longest one that workers
/// grant.
#[must_use]
pub fn longest_lease(max_lease: Millis) -> Millis {
    slowest_time(max_lease.max(WORKER_LEASE))
}

/// Delay between the end of a lease and the restart of its tasks elsewhere, for timers that fire
/// late.
pub(crate) const LEASE_EXPIRY_MARGIN: Millis = Millis(200);

/// Maximum delay before the end of a task is written, so that several ends share one write. It only
/// postpones the acknowledgement, which may take 4 s.
pub(crate) const PROGRESS_WRITE_DELAY: Millis = Millis(200);

/// Time without a reply of the store after which new jobs are refused immediately, because they
/// could not be accepted in time. A slow store replies within 0.5 s.
pub(crate) const WRITE_STALL_TIMEOUT: Millis = Millis(700);

/// Time for which a job is kept after its end: the 120 s that callers may rely on, and a margin.
pub(crate) const ENDED_JOB_RETENTION: Millis = Millis(150_000);

/// Delay before a task starts again after it failed or a worker refused it, so that a worker that
/// refuses everything is not sent starts in a tight loop.
pub(crate) const TASK_RETRY_DELAY: Millis = Millis(150);
/// Estimated running time from which a task may be a canary while other tasks of its job run. A canary is
/// paused within 0.2 s, and estimates are rough.
pub(crate) const MIN_CANARY_ESTIMATE: Millis = Millis(1_000);
/// Time for which a worker that does not accept tasks any more is expected back. Most restart within 5 s.
pub(crate) const MAX_RETURN_TIME: Millis = Millis(5_000);
/// Maximum time for which a worker that refuses every start gets no new tasks, except those that have
/// waited for [`RELAXED_SEARCH_WAIT`] and that no other worker can run. Each try costs a task about
/// 0.3 s.
pub(crate) const MAX_REFUSAL_BACKOFF: Millis = Millis(3_000);

/// Maximum number of workers that a task avoids. With [`TASK_RETRY_DELAY`], it tries hardly more of
/// them within the 3 s for which callers may see nothing of a job running.
pub(crate) const MAX_AVOIDED_WORKERS: usize = 16;

/// Number of run outcomes on a worker from which its failure share is evaluated.
pub(crate) const MIN_OUTCOME_SAMPLES: f32 = 3.0;
/// Share of failed runs from which a worker is quarantined.
pub(crate) const QUARANTINE_FAILURE_SHARE: f32 = 0.6;
/// Smallest ratio of a quarantined worker's failure share to that of the other workers of its
/// service. Jobs that fail everywhere raise both alike.
pub(crate) const MIN_FAILURE_RATIO: f32 = 2.0;
/// Divisor of the number of a service's workers for the largest number in quarantine, one at least:
/// when more of them fail, the cause is more likely the jobs, and the others must still have room.
pub(crate) const MAX_QUARANTINED_DIVISOR: usize = 4;
/// Factor applied to the weight of earlier outcomes with each further one.
pub(crate) const OUTCOME_DECAY: f32 = 0.8;
/// Time for which a quarantined worker gets no new tasks, except those that have waited for
/// [`UNRESTRICTED_SEARCH_WAIT`] and that no other worker can run.
pub(crate) const QUARANTINE_DURATION: Millis = Millis(3_000);

/// Time after the order to start at which a listed run counts as settled. Tasks that crash their
/// worker do so 20 to 100 ms after their start, and the agent's report takes up to 0.2 s more.
pub(crate) const SETTLE_TIME: Millis = Millis(500);
/// Time after the order to start, or after its adoption, within which a run may be the cause of a
/// crash of its worker.
pub(crate) const CRASH_WINDOW: Millis = Millis(10_000);
/// Maximum time for which a suspect keeps other tasks from its worker without being listed. Runs are
/// listed every 0.4 s.
pub(crate) const MAX_START_PROBATION: Millis = Millis(1_000);
/// Time for which a worker is kept free of starts until its runs have settled, so that a suspect can
/// start there: [`SETTLE_TIME`] and the interval at which runs are listed.
pub(crate) const PREPARATION_TIME: Millis = Millis(1_000);
/// Divisor of the number of a service's workers for the largest number that is kept free for
/// suspects, one at least, so that others go on starting.
pub(crate) const MAX_PROBATION_DIVISOR: usize = 2;
/// Time from the start of a task to that of the next one of a step on trial, unless the run ends
/// before: [`SETTLE_TIME`] and the interval at which runs are listed.
pub(crate) const TRIAL_INTERVAL: Millis = Millis(1_000);
/// Time for which a suspect waits for a worker of its own. With [`RELAXED_SEARCH_WAIT`], its job has
/// nothing running for less than 3 s.
pub(crate) const MAX_PROBATION_WAIT: Millis = Millis(2_200);
/// The same while other tasks of the job run.
pub(crate) const MAX_PARTIAL_PROBATION_WAIT: Millis = Millis(20_000);
/// Time after a crash within which it is taken back from other suspects once its cause is shown. It
/// exceeds the longest wait of a suspect.
pub(crate) const MAX_EXPLANATION_TIME: Millis = Millis(30_000);
/// Maximum number of suspects of a single crash that start together on a worker, if there are more
/// suspects than workers for them. If the worker crashes, each starts alone.
pub(crate) const MAX_COHORT: usize = 4;
/// Number of workers that may crash soon after a start of a task before it starts beside other
/// suspects only after a long wait. Callers allow it to be given up then, so that a wait is better.
pub(crate) const MAX_SHARED_CRASHES: usize = 3;
/// Time for which such a task waits for a worker of its own while nothing else of its job runs.
pub(crate) const MAX_ALONE_WAIT: Millis = Millis(5_000);
/// Number of workers that must certainly have crashed under a task before it is given up. Callers count
/// a job as lost whose task was given up after fewer.
pub(crate) const MIN_CRASHES: usize = 2;
/// Number of workers that may crash soon after a start of a task before the task is given up although
/// other tasks may be the cause, or no crash was certain. Callers forbid three more starts after three
/// such crashes, and a change of owners can hide one crash. A task may crash each worker before that can
/// answer the start, so that crashes that are not certain have to count here; four of them in a row are
/// more than accidents beside lost answers explain.
pub(crate) const MAX_EARLY_CRASHES: usize = 4;

/// Time after which a record that the store has refused for good is sent again, in case its limits have
/// changed. Each try costs some appends, in which the record is told from the others.
pub(crate) const REFUSED_WRITE_RETRY_DELAY: Millis = Millis(5_000);
/// Maximum number of jobs that have not ended; further ones are refused.
pub(crate) const MAX_OPEN_JOBS: usize = 20_000;
/// Maximum number of tasks in one step.
pub(crate) const MAX_STEP_TASKS: u32 = 10_000;
/// Largest number of ranges in which the failed runs of a service task are kept. Runs between the
/// oldest of them then count as failed, too, which matters to the log only: their ends may still come,
/// but no attempts are counted.
pub(crate) const MAX_SERVICE_FAILURE_RANGES: usize = 16;
/// Maximum number of steps in one job.
pub(crate) const MAX_JOB_STEPS: usize = 1_000;
/// Maximum number of tasks in one occurrence of a job. They are all kept in memory, and without this
/// limit a body of 14 KB could describe ten million.
pub(crate) const MAX_JOB_TASKS: u64 = 100_000;
/// Maximum amount of one resource of a task or worker, so that sums over all of them stay in range.
pub const MAX_AMOUNT: u64 = u32::MAX as u64;
/// Maximum estimated running time of a task, about 34 years, so that sums over steps stay in range.
pub(crate) const MAX_ESTIMATE: Millis = Millis(1 << 40);
/// Maximum number of occurrences of a job that are due when it is accepted, or within
/// [`MIN_OCCURRENCE_INTERVAL`] of each other. Occurrences that are due are all kept in memory.
pub(crate) const MAX_DUE_OCCURRENCES: u64 = 1_000;
/// Maximum difference between the clocks of two owners for which a reported occurrence is added early.
/// A report may name any occurrence, and a job must not run all of its occurrences at once.
pub(crate) const MAX_CLOCK_DIFFERENCE: Millis = Millis(600_000);
/// Minimum time between the occurrences of a job that has more than [`MAX_DUE_OCCURRENCES`].
pub(crate) const MIN_OCCURRENCE_INTERVAL: Millis = Millis(100);

/// Tail latency of a latency-critical task, as a share of its target, up to which best-effort tasks
/// may start beside it. The remaining share absorbs errors of the estimates.
pub(crate) const MAX_ADMISSION_RATIO: f32 = 0.85;
/// Headroom that must remain when a best-effort task starts, which corresponds to that latency.
pub(crate) const MIN_REMAINING_HEADROOM: f32 = 1.0 / MAX_ADMISSION_RATIO;
/// Tail latency, as a share of the target, above which best-effort tasks beside a latency-critical
/// one are throttled or stopped. The latency may stay above its target for 4 s at most, and the
/// effect shows after about a second.
pub(crate) const THROTTLE_RATIO: f32 = 1.0;
/// Tail latency, as a share of the target, below which throttled best-effort tasks get some of
/// their speed back.
pub(crate) const SPEEDUP_RATIO: f32 = 0.7;
/// Lowest speed of a best-effort task beside latency-critical ones, in percent. It causes a tenth
/// of the interference, and its job still makes progress.
pub(crate) const MIN_SPEED_PERCENT: u32 = 10;
/// Speed in percent below which a best-effort task is stopped instead of throttled: its job would
/// wait longer for it than for another start.
pub(crate) const STOP_SPEED_PERCENT: u32 = 20;
/// Tail latency, as a share of the target, above which one report may throttle any number of
/// best-effort tasks.
pub(crate) const OVERLOAD_RATIO: f32 = 1.5;
/// Speed in percent that a throttled best-effort task regains with each report below
/// [`SPEEDUP_RATIO`].
pub(crate) const SPEED_STEP_PERCENT: u32 = 20;
/// Time without a running task after which a best-effort job gets one task before others get more,
/// if necessary at a speed that the latency-critical tasks beside it are expected to tolerate.
/// Callers may see no task of a job running for 3 s at most.
pub(crate) const BEST_EFFORT_WAIT: Millis = Millis(1_200);
/// Time without a run after which the search for a worker is relaxed for the tasks of a job, or for
/// a service task. Most best-effort tasks end and most stuck runs are stopped within that time.
/// Callers may see no task of a job running for 3 s at most, and a service task away for 6 s.
pub(crate) const RELAXED_SEARCH_WAIT: Millis = Millis(2_000);
/// Time without a run after which the search also considers workers in quarantine. The order, the
/// start and the reports take up to 0.4 s of the 3 s that callers allow.
pub(crate) const UNRESTRICTED_SEARCH_WAIT: Millis = Millis(2_600);
/// Maximum number of idle best-effort jobs of one priority that a worker is searched for in one
/// tick, so that a backlog does not delay the owner.
pub(crate) const MAX_IDLE_SEARCHES: usize = 16;
/// Share of reserved processors and memory, in percent, below which a job may not remain idle for
/// lack of a suitable worker. Callers require progress while less than 50% are reserved; the margin
/// covers runs that have ended and are not reported yet.
pub(crate) const SPARE_CAPACITY_PERCENT: u64 = 60;
/// Budget for starting best-effort tasks beside the latency-critical tasks of a worker between two
/// reports, because interference shows only in the next report. A task of known, small interference
/// costs 1.
pub(crate) const START_BUDGET_PER_REPORT: u32 = 4;
/// Part of [`START_BUDGET_PER_REPORT`] used by a best-effort task of unknown interference.
pub(crate) const UNKNOWN_START_COST: u32 = 2;
/// Maximum number of best-effort tasks that one report throttles or stops on a worker.
pub(crate) const MAX_THROTTLES_PER_REPORT: usize = 2;
/// Share of the processors reserved for latency-critical tasks that best-effort tasks may use, in
/// percent. The load of the former varies around less than half of their reservation.
pub(crate) const CRITICAL_UNUSED_PERCENT: u64 = 50;

/// Time that a task waits for free capacity before less urgent runs are preempted. With many tasks
/// running, capacity usually becomes free within that time.
pub(crate) const MIN_PREEMPT_WAIT: Millis = Millis(200);
/// Remaining time to start without being late at which less urgent runs are preempted for a job. A
/// stop takes up to 0.2 s, and the orders and the report about as long.
pub(crate) const PREEMPT_START_MARGIN: Millis = Millis(400);
/// Waiting time after which less urgent runs are preempted for service tasks and for jobs that are
/// already late. Urgent work must start within 5.8 s, and a stop and a start take about 0.5 s.
pub(crate) const MAX_PREEMPT_WAIT: Millis = Millis(5_000);
/// Maximum number of tasks that preemption is tried for in one tick, so that a burst does not delay
/// the owner.
pub(crate) const MAX_PREEMPT_TASKS: usize = 16;
/// Maximum number of times that a task is preempted, so that it completes eventually.
pub(crate) const MAX_TASK_PREEMPTIONS: u8 = 3;
/// Maximum amount of work lost when a task with checkpoints is stopped: one checkpoint interval,
/// which is one to two seconds.
pub(crate) const MAX_CHECKPOINT_LOSS: Millis = Millis(1_000);

/// Time for which a worker gets no new tasks after it did not respond to its agent. Longer than the
/// interval of the agent's reports.
pub(crate) const UNRESPONSIVE_BACKOFF: Millis = Millis(700);

/// Multiple of its allowed time after which a job goes behind those that can be in time.
pub(crate) const EXPIRY_FACTOR: u64 = 3;
/// Jobs of a queue that may start before the oldest job after that time gets a turn: a bounded share
/// of the workers, so that no accepted job is passed over without end.
pub(crate) const PASSED_OVER_LIMIT: u32 = 12;
/// Interval at which jobs are ranked again if none is added or ends.
pub(crate) const RANK_INTERVAL: Millis = Millis(100);

/// Time without progress after which a run counts as stuck, in addition to a share of its estimated
/// time. A task that resumes from a checkpoint makes no progress for 0.6 s.
pub(crate) const STUCK_TIMEOUT: Millis = Millis(1_000);
/// Share of a task's estimated time that is added to [`STUCK_TIMEOUT`], in percent.
pub(crate) const STUCK_ESTIMATE_PERCENT: u64 = 15;
/// Time for which a worker with stuck runs gets no new tasks, except those that have waited for
/// [`RELAXED_SEARCH_WAIT`] and that no other worker can run.
pub(crate) const STUCK_WORKER_BACKOFF: Millis = Millis(2_000);
/// Speed of a worker, as a share of the expected speed, below which it counts as slow.
pub(crate) const SLOW_WORKER_SPEED: f32 = 0.4;
/// Weight of a new sample in the moving average of a worker's speed.
pub(crate) const SPEED_SAMPLE_WEIGHT: f32 = 0.3;
/// Time after which a worker's measured speed has returned halfway to the expected speed, so that a
/// slow worker is tried again.
pub(crate) const SPEED_HALF_LIFE_MS: f32 = 3_000.0;

/// Time for which tail latencies still include the interference of best-effort tasks that have
/// stopped or slowed down. The reported value halves in about 0.4 s.
pub(crate) const LATENCY_FALL_TIME: Millis = Millis(1_300);
/// Time until tail latencies show the full interference of a best-effort task that has started.
pub(crate) const LATENCY_RISE_TIME: Millis = Millis(900);
/// Share of the last reported tail latency above which the latency does not count as falling, so
/// that more tasks are throttled before the effect of the last ones is complete.
pub(crate) const FALLING_RATIO: f32 = 0.85;

/// Time after which a gang is stopped if workers have not listed all of its members. Workers wait 3
/// s for the rest of a gang, an unanswered start is abandoned within 1.5 s, and runs are listed
/// every 0.4 s.
pub(crate) const GANG_START_TIMEOUT: Millis = Millis(2_000);
/// Time that a gang waits for free capacity in one rack. Spread over several racks, it takes at
/// least 1.5 times as long.
pub(crate) const GANG_RACK_WAIT: Millis = Millis(1_000);
/// Waiting time after which a gang reserves the capacity that becomes free, so that small tasks do
/// not delay it indefinitely.
pub(crate) const GANG_RESERVE_WAIT: Millis = Millis(1_500);
/// Time for which capacity is kept for a gang while its service has spare capacity, and for which it
/// is then yielded to jobs that have had nothing running for as long. Such a job waits for at most
/// twice this time; callers may see nothing of it running for 3 s at most.
pub(crate) const GANG_HOLD_TIME: Millis = Millis(1_200);

/// Maximum number of workers in one advice request, except for gangs. Callers account for one request
/// per 30 workers and step.
pub(crate) const MAX_ADVICE_WORKERS: usize = 30;
/// Maximum number of workers in one advice request for a gang, whose tickets must be valid at the same
/// time. The service takes no more.
pub(crate) const MAX_GANG_ADVICE_WORKERS: usize = 100;
/// Maximum number of advice requests whose answers are expected. The service handles requests of one
/// host one at a time, so more of them would only queue there and delay urgent ones.
pub(crate) const MAX_ADVICE_CALLS: usize = 2;
/// Expected time of the requests in flight up to which another one is sent: a few times the time
/// between an answer and the next request.
pub(crate) const PIPELINED_ADVICE_TIME: Millis = Millis(200);
/// Maximum number of advice requests that are not answered, overdue ones included. The service rejects
/// requests beyond 32 of a host, which earlier owners may have left there in part.
pub(crate) const MAX_OPEN_ADVICE_CALLS: usize = 8;
/// Time within which the requests of all waiting steps are to be handled, if they can be. Callers may
/// see nothing of a job running for 3 s at most, of which the searches before and the start take some.
pub(crate) const ADVICE_QUEUE_TIME: Millis = Millis(1_000);
/// Maximum time of a request for more tasks of a job that has running ones, if one worker takes less.
pub(crate) const MAX_FOLLOW_UP_TIME: Millis = Millis(1_000);
/// Largest number of times that a delay or the size of a request is doubled.
pub(crate) const MAX_ADVICE_DOUBLINGS: u32 = 3;
/// Time of a request where the operators' settings tell none.
pub(crate) const ASSUMED_ADVICE_COST: AdviceCost = AdviceCost {
    decide_ms: 20.0,
    per_worker_ms: 2.0,
};
/// Time of a request below which delays of ticks and connections hide the time of the service.
pub(crate) const MIN_ADVICE_SAMPLE: Millis = Millis(100);
/// Minimum time after which an answer counts as overdue, so that the service gets another request. Some
/// requests are lost, and callers may see nothing of a job running for 3 s.
pub(crate) const ADVICE_PATIENCE: Millis = Millis(2_500);
/// Maximum time after which an answer counts as overdue, whatever the operators' settings tell.
pub(crate) const MAX_ADVICE_PATIENCE: Millis = Millis(60_000);
/// Minimum time for which an answer is waited for. The service goes on with a request that is overdue.
pub(crate) const ADVICE_TIMEOUT: Millis = Millis(60_000);
/// Time by which a step of a job with running tasks waits behind those of idle jobs. It is bounded, so
/// that these do not pass it over without end.
pub(crate) const FOLLOW_UP_ADVICE_DELAY: Millis = Millis(3_000);
/// Time by which a step waits behind those of the next more urgent priority. As above.
pub(crate) const PRIORITY_ADVICE_DELAY: Millis = Millis(200);
/// Largest number of priorities that the delay grows with.
pub(crate) const MAX_ADVICE_PRIORITY: u32 = 3;
/// Time without a search for a worker after which a step no longer waits for advice.
pub(crate) const MAX_ADVICE_WAIT_GAP: Millis = Millis(500);
/// Delay before an advice request is repeated after one that got no reply.
pub(crate) const ADVICE_RETRY_DELAY: Millis = Millis(200);
/// Delay before the next request to a service that has rejected one because many wait there. It doubles
/// with each further rejection.
pub(crate) const ADVICE_REJECTION_DELAY: Millis = Millis(200);
/// Time that an answer may be under way from the service, if its tickets count from then.
pub(crate) const ADVICE_TRANSIT_TIME: Millis = Millis(200);
/// Time before its expiry at which a ticket is no longer used, to allow for the delivery of the
/// start.
pub(crate) const TICKET_EXPIRY_MARGIN: Millis = Millis(150);

/// Time without a listed run after which a job counts as stalled. Callers may see nothing of a job
/// running for 3 s at most.
pub(crate) const STALL_TIMEOUT: Millis = Millis(2_000);
/// Time without a listed run after which a service task counts as stalled while others of its job
/// run. The task of a lost worker starts elsewhere after about 4 s, and callers may miss a service
/// task for 6 s at most.
pub(crate) const SERVICE_STALL_TIMEOUT: Millis = Millis(5_000);
/// Interval at which jobs are checked for stalls.
pub(crate) const STALL_CHECK_INTERVAL: Millis = Millis(500);
/// Interval at which a stalled job is logged again.
pub(crate) const STALL_LOG_INTERVAL: Millis = Millis(5_000);
/// Maximum number of log lines on stalled jobs per check, so that an overload does not flood the
/// log.
pub(crate) const MAX_STALL_LINES: usize = 4;
/// Maximum number of workers that a log line on a stalled job names.
pub(crate) const MAX_STALL_WORKERS: usize = 3;

/// Interval at which machines are listed while a maintenance wave is open. Maintenance takes about
/// two seconds, and each list is a call to the platform.
pub(crate) const MACHINE_LIST_INTERVAL: Millis = Millis(1_000);
/// Time that a machine of a wave waits for the end of tasks without checkpoints.
pub(crate) const VACATE_TIMEOUT: Millis = Millis(3_000);
/// Time for which a worker stays vacated although service tasks there can neither move nor be
/// missed. Their step may be waiting for this worker, and callers may see a service task away for 6
/// s at most.
pub(crate) const VACATE_BLOCK_TIMEOUT: Millis = Millis(2_000);
/// Time for which a worker stays vacated while service tasks there wait for others of their step to
/// become active. Longer than a start, so that a slow one does not end the attempt.
pub(crate) const VACATE_STALL_TIMEOUT: Millis = Millis(10_000);
/// Delay before a machine that could not be vacated is tried again.
pub(crate) const VACATE_RETRY_DELAY: Millis = Millis(5_000);
/// Delay before an order to a machine is repeated.
pub(crate) const MAINTENANCE_RETRY_DELAY: Millis = Millis(500);

/// Interval at which the interference estimates are stored, as part of a write that is due anyway.
/// They take a few kilobytes, and a later owner loses at most the samples since the last write.
pub(crate) const INTERFERENCE_WRITE_INTERVAL: Millis = Millis(3_000);
