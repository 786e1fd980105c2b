//! Times and limits of the owner.

use hyssop_core::Millis;

/// Lease of a worker from the moment at which its agent asked. It covers the restart of an agent,
/// which takes about a second, with two renewals to spare, and is below the least bound that a
/// worker sets to its leases (6 s).
pub const WORKER_LEASE: Millis = Millis(4_000);

/// Age of the last proof of ownership up to which an owner starts tasks and extends leases. A
/// shorter one would stop all work in each outage of the store of a few seconds.
pub const MAX_CONFIRMATION_AGE: Millis = Millis(4_000);

/// Difference of clock rates and delays of timers over `OWNER_PROOF + GRANT`: 2% and 100 ms.
const CLOCK_ERROR_MARGIN: Millis = Millis(300);

/// Wait of a new owner for a worker that it cannot reach: the previous owner may have extended its
/// lease until `OWNER_PROOF` after the claim.
pub const TAKEOVER_WAIT: Millis =
    Millis(MAX_CONFIRMATION_AGE.0 + WORKER_LEASE.0 + CLOCK_ERROR_MARGIN.0);

/// Wait after the end of a lease before its tasks start elsewhere, for timers that fire late.
pub(crate) const LEASE_EXPIRY_MARGIN: Millis = Millis(200);

/// Longest wait of the end of a task for the write that stores it, so that ends share writes. It
/// delays only the acknowledgement, which may take 4 s.
pub(crate) const PROGRESS_WRITE_DELAY: Millis = Millis(200);

/// Time without an answer of the store from which new jobs are refused at once, since they could not
/// be accepted in time. A slow store answers within half a second.
pub(crate) const WRITE_STALL_TIMEOUT: Millis = Millis(700);

/// Time for which a job that has ended is kept, as callers are promised (120 s), with some to spare.
pub(crate) const ENDED_JOB_RETENTION: Millis = Millis(150_000);

/// Pause before a task starts again after a worker refused it or it failed, so that a worker that
/// refuses everything is not asked without end.
pub(crate) const TASK_RETRY_DELAY: Millis = Millis(150);

/// Ends of runs on one worker after which its share of failures is judged.
pub(crate) const MIN_OUTCOME_SAMPLES: f32 = 3.0;
/// Share of failed ends from which a worker gets no new tasks for a while.
pub(crate) const QUARANTINE_FAILURE_SHARE: f32 = 0.6;
/// Weight of the evidence about a worker that is kept with each further end.
pub(crate) const OUTCOME_DECAY: f32 = 0.8;
/// Time for which a worker that failed most tasks gets no new ones.
pub(crate) const QUARANTINE_DURATION: Millis = Millis(3_000);

/// Most jobs that are accepted and have not ended; further ones are refused.
pub(crate) const MAX_OPEN_JOBS: usize = 20_000;
/// Most tasks of one step.
pub(crate) const MAX_STEP_TASKS: u32 = 10_000;
/// Most steps of one job.
pub(crate) const MAX_JOB_STEPS: usize = 1_000;

/// Tail latency of a serving task, as a share of its target, up to which fillers may start and stay
/// beside it. The rest takes what the estimates miss.
pub(crate) const MAX_ADMISSION_RATIO: f32 = 0.85;
/// The headroom that fillers have to leave by that.
pub(crate) const MIN_REMAINING_HEADROOM: f32 = 1.0 / MAX_ADMISSION_RATIO;
/// Tail latency, as a share of the target, above which fillers beside a serving task are removed.
/// They may keep it above 1 for 4 s at most, and a removal shows after about a second.
pub(crate) const THROTTLE_RATIO: f32 = 1.0;
/// The same below which slowed fillers get their speed back.
pub(crate) const SPEEDUP_RATIO: f32 = 0.7;
/// Least speed of a filler beside serving tasks, in percent. Its effect is then a tenth, and its job
/// still goes on.
pub(crate) const MIN_SPEED_PERCENT: u32 = 10;
/// Speed in percent below which a filler is stopped in place of being slowed: its job would wait
/// longer for it than for another start.
pub(crate) const STOP_SPEED_PERCENT: u32 = 20;
/// Tail latency, as a share of the target, from which all fillers that weigh on a serving task are
/// removed at once.
pub(crate) const OVERLOAD_RATIO: f32 = 1.5;
/// Speed that a slowed filler gains with each calm report, in percent.
pub(crate) const SPEED_STEP_PERCENT: u32 = 20;
/// Time for which a filler waits for a place where it can run at full speed. Then it starts beside
/// serving tasks at the speed that they are expected to bear; callers may see nothing of a job run
/// for 3 s at most.
pub(crate) const BEST_EFFORT_WAIT: Millis = Millis(1_200);
/// Share of the processors in use, in percent, below which a job may not stand still for want of a
/// good place. Callers count from half.
pub(crate) const SPARE_CPU_PERCENT: u64 = 60;
/// Fillers that may start beside the serving tasks of a worker between two reports, since effects
/// change and show only in the next report.
pub(crate) const START_BUDGET_PER_REPORT: u32 = 4;
/// What a filler of unknown effect takes from [`FILLERS_PER_REPORT`].
pub(crate) const UNKNOWN_START_COST: u32 = 2;
/// Fillers that one report may remove from a worker.
pub(crate) const MAX_THROTTLES_PER_REPORT: usize = 2;
/// Part of the processors reserved for serving tasks that they leave unused, in percent. Their load
/// swings around less than half of what they ask for.
pub(crate) const CRITICAL_UNUSED_PERCENT: u64 = 50;

/// Least time for which a task waits for room before less urgent runs are stopped for it. Where many
/// tasks run, room becomes free by itself within that time.
pub(crate) const MIN_PREEMPT_WAIT: Millis = Millis(200);
/// Time that a job may still wait at which less urgent runs are stopped for it: a stop takes up to
/// 0.2 s, and the orders and the report about as long.
pub(crate) const PREEMPT_START_MARGIN: Millis = Millis(400);
/// Wait after which less urgent runs are stopped also for a job that is late already, and for
/// standing tasks. Urgent work is to start within 5.8 s, and a stop and a start take about half a
/// second.
pub(crate) const MAX_PREEMPT_WAIT: Millis = Millis(5_000);
/// Tasks for which room is sought in one tick, so that a burst does not hold up the owner.
pub(crate) const MAX_PREEMPT_TASKS: usize = 16;
/// Times that a task is stopped for more urgent ones, so that it ends some time.
pub(crate) const MAX_TASK_PREEMPTIONS: u8 = 3;
/// Work that a stop of a task with checkpoints throws away at most: one interval of checkpoints,
/// which is a second or two.
pub(crate) const MAX_CHECKPOINT_LOSS: Millis = Millis(1_000);

/// Pause before a worker that does not answer its agent gets new tasks, longer than the interval of
/// the agent's reports.
pub(crate) const UNRESPONSIVE_BACKOFF: Millis = Millis(700);

/// A job that takes this many times as long as it may is worth nothing to its caller any more.
pub(crate) const EXPIRY_FACTOR: u64 = 3;
/// Interval at which jobs are ranked anew while none comes or ends.
pub(crate) const RANK_INTERVAL: Millis = Millis(100);

/// Time without progress after which a run counts as stuck, beside a part of its estimated time: a
/// task that resumes from a checkpoint does nothing for 0.6 s.
pub(crate) const STUCK_TIMEOUT: Millis = Millis(1_000);
/// Part of a task's estimated time that it may stand still beyond that, in percent.
pub(crate) const STUCK_ESTIMATE_PERCENT: u64 = 15;
/// Time for which a worker with stuck runs gets no new tasks.
pub(crate) const STUCK_WORKER_BACKOFF: Millis = Millis(2_000);
/// Share of the expected speed below which a worker counts as slow.
pub(crate) const SLOW_WORKER_SPEED: f32 = 0.4;
/// Share of a new sample of a worker's speed that goes into its estimate.
pub(crate) const SPEED_SAMPLE_WEIGHT: f32 = 0.3;
/// Time after which half of what is known of a worker's speed is forgotten, so that a slow worker is
/// tried again.
pub(crate) const SPEED_HALF_LIFE_MS: f32 = 3_000.0;

/// Time after fillers have left a worker during which the tail latencies there still show their
/// effect: the reported figure halves in about 0.4 s.
pub(crate) const LATENCY_FALL_TIME: Millis = Millis(1_300);
/// Time after a filler has started until its whole effect shows.
pub(crate) const LATENCY_RISE_TIME: Millis = Millis(900);
/// Share of the tail latency of the last report from which it counts as not falling, so that
/// another removal is needed before the effect of the last one has passed.
pub(crate) const FALLING_RATIO: f32 = 0.85;

/// Time after which a gang whose members are not all listed is stopped. Workers give up waiting for
/// the rest of a gang after 3 s, a start that is not answered is given up within 1.5 s, and rows come
/// every 0.4 s.
pub(crate) const GANG_START_TIMEOUT: Millis = Millis(2_000);
/// Time for which a gang waits for room in one rack. On several racks it takes at least one and a
/// half times as long.
pub(crate) const GANG_RACK_WAIT: Millis = Millis(1_000);
/// Time after which a gang that finds no room keeps later tasks from the room that becomes free, so
/// that small tasks do not pass it without end.
pub(crate) const GANG_RESERVE_WAIT: Millis = Millis(1_500);

/// Most workers in one question for advice: callers count one question on 30 workers a step.
pub(crate) const MAX_ADVICE_WORKERS: usize = 30;
/// Questions for advice on their way at once. The service takes one after the other from each host,
/// so that more would only wait there, the urgent ones among them.
pub(crate) const MAX_ADVICE_CALLS: usize = 2;
/// Pause after a question that was not answered.
pub(crate) const ADVICE_RETRY_DELAY: Millis = Millis(200);
/// Time before its end at which a ticket is no longer used, for the way of the start.
pub(crate) const TICKET_EXPIRY_MARGIN: Millis = Millis(150);

/// Interval at which the machines are listed while a wave of upkeep is open. Upkeep takes about two
/// seconds, and each list is a call to the platform.
pub(crate) const MACHINE_LIST_INTERVAL: Millis = Millis(1_000);
/// Time for which a machine of a wave waits for tasks that end by themselves and keep no checkpoints.
pub(crate) const VACATE_TIMEOUT: Millis = Millis(3_000);
/// Pause before an order to a machine is repeated.
pub(crate) const MAINTENANCE_RETRY_DELAY: Millis = Millis(500);

/// Interval at which what is known of fillers is stored, with a write that is due anyway. It is a few
/// kilobytes, and a later owner misses at most what was learned since.
pub(crate) const INTERFERENCE_WRITE_INTERVAL: Millis = Millis(3_000);
