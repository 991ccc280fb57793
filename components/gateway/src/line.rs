//! Requests of a service that wait for room in one line, where callers compete for it.
//!
//! [`admission::WaitingLine`] says who is next, `dispatch` says where there is room.
//! One task walks all lines whenever room may have appeared.

use std::{
    cell::RefCell,
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use admission::{
    EntryId, LengthClass, LineBounds, LineEntry, LineNews, LinePace, LineStatus, ReturnSchedule,
    WaitingLine, class_number, job_cost,
};
use dispatch::{
    EngineSpec, PlacementRefusal, PlacementWait, engine_key, fastest_prefill,
    needs_several_engines, prefill_time,
};
use futures_lite::future::or;
use serde::{Deserialize, Serialize};
use smol::channel;
use types::{ServiceName, TokenCount, UpstreamId};

use crate::{
    forward::ForwardJob,
    leg::FIRST_EVENT_OVERHEAD,
    place::{
        PLACEMENT_RETRY_PAUSE, PlacedRequest, PlacementStep, WaitRefusal, longest_wait,
        prompt_goals, try_to_place, wait_limits,
    },
    reports::millis,
    state::Gateway,
    supplements::{Supplement, SupplementKind},
};

/// Most requests that wait for one service on this node: with the bytes below, more
/// than callers keep open on a small host.
const LINE_REQUESTS_MAX: usize = 4_096;
/// Most bytes of requests that wait for one service: a small part of the smallest
/// host's memory of 160 MB.
const LINE_BYTES_MAX: usize = 24 << 20;
/// Memory of a waiting request besides its body: head, connection and place in line.
const ENTRY_OVERHEAD_BYTES: usize = 4 << 10;
/// Requests of each class that a walk considers.
const WALK_DEPTH: usize = 16;
/// Placements that one walk of a line asks for: each takes up to half a millisecond on a
/// tenth of a core, so that a walk leaves most of its pause to other work.
const WALK_PLACEMENTS_MAX: usize = 16;

/// Services and classes in one supplement, each of at most 16 bytes, so that it stays
/// below 1,000 bytes.
const STATUSES_PER_SUPPLEMENT: usize = 60;

/// Lines of all services on this node.
#[derive(Debug)]
pub(crate) struct ServiceLines {
    lines: RefCell<HashMap<ServiceName, ServiceLine>>,
    /// What the other nodes tell of theirs.
    news: RefCell<LineNews<SocketAddr>>,
    wake_sender: channel::Sender<()>,
    wake_receiver: channel::Receiver<()>,
}

#[derive(Debug, Default)]
struct ServiceLine {
    order: WaitingLine,
    /// When callers that were refused return.
    returns: BTreeMap<LengthClass, ReturnSchedule>,
    waiters: HashMap<EntryId, LineWaiter>,
}

/// What a walk needs of a waiting request.
#[derive(Clone, Debug)]
struct LineWaiter {
    job: Rc<ForwardJob>,
    entry: LineEntry,
    tried: Vec<UpstreamId>,
    entered_at: Instant,
    verdict_sender: channel::Sender<Result<Box<PlacedRequest>, WaitRefusal>>,
}

impl Default for ServiceLines {
    fn default() -> Self {
        let (wake_sender, wake_receiver) = channel::bounded(1);
        Self {
            lines: RefCell::default(),
            news: RefCell::default(),
            wake_sender,
            wake_receiver,
        }
    }
}

impl ServiceLines {
    /// Lets the lines be walked soon, since room may have appeared.
    pub(crate) fn wake(&self) {
        // A full channel means that a walk is due already.
        let _ = self.wake_sender.try_send(());
    }

    fn is_empty(&self) -> bool {
        self.lines
            .borrow()
            .values()
            .all(|line| line.order.is_empty())
    }
}

/// Takes a request out of its line when its caller leaves.
struct LinePlace<'a> {
    gateway: &'a Gateway,
    job: &'a ForwardJob,
    id: EntryId,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut lines = self.gateway.lines.lines.borrow_mut();
        let Some(line) = lines.get_mut(&self.job.service) else {
            return;
        };
        line.order.remove(now, self.id);
        if let Some(waiter) = line.waiters.remove(&self.id) {
            let waited = now.saturating_duration_since(waiter.entered_at);
            log::info!(
                "event=line_left request={} service={} waited_ms={}",
                self.job.request.caller_attempt_id,
                self.job.service,
                waited.as_millis()
            );
            self.gateway.lines.wake();
        }
    }
}

/// Returns whether requests wait in line order: where the settings ask for it and
/// organisations are configured, whose callers compete for room.
pub(crate) fn is_in_line(gateway: &Gateway) -> bool {
    gateway.settings.waiting_line && gateway.routes.borrow().state().organisations.is_some()
}

/// Places a request at once if nobody waits before it and there is room, or else waits
/// in line for it.
pub(crate) async fn wait_in_line(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    tried: &[UpstreamId],
) -> Result<Box<PlacedRequest>, WaitRefusal> {
    let now = gateway.now();
    let entry = line_entry(gateway, job);
    let has_ahead = with_line(gateway, &job.service, |line| {
        line.order.has_ahead(entry.priority, entry.class)
    });
    let is_late = matches!(wait_limits(job, now), PlacementWait::Expired);
    if !has_ahead || is_late {
        match try_to_place(gateway, job, tried) {
            PlacementStep::Placed(placed) => {
                with_line(gateway, &job.service, |line| {
                    line.order.record_immediate_start(&entry);
                });
                return Ok(placed);
            }
            PlacementStep::Refused(refusal) => return Err(refusal.into()),
            PlacementStep::Wait => {}
        }
    }
    let forecast = LineForecast::new(gateway, job, &entry, now);
    if let Err(return_after) = forecast.check(gateway, job, &entry, now) {
        if has_ahead && let PlacementStep::Placed(placed) = try_to_place(gateway, job, tried) {
            with_line(gateway, &job.service, |line| {
                line.order.record_immediate_start(&entry);
            });
            return Ok(placed);
        }
        forecast.log_refusal(job, return_after);
        gateway
            .metrics
            .record_line_refusal(&job.service, "turn_too_late");
        return Err(WaitRefusal {
            reason: PlacementRefusal::Full,
            return_after: Some(return_after),
        });
    }
    let (verdict_sender, verdict_receiver) = channel::bounded(1);
    let (id, place, length) = with_line(gateway, &job.service, |line| {
        let id = line.order.push(now, entry);
        let waiter = LineWaiter {
            job: Rc::clone(job),
            entry,
            tried: tried.to_vec(),
            entered_at: now,
            verdict_sender,
        };
        line.waiters.insert(id, waiter);
        shed_overflow(gateway, line, now);
        (id, line.order.place_of(id).unwrap_or(0), line.order.len())
    });
    let _place = LinePlace { gateway, job, id };
    log::info!(
        "event=line_entered request={} service={} priority={} organisation={} class={:?} \
         place={place} length={length} age_ms={}",
        job.request.caller_attempt_id,
        job.service,
        job.priority,
        job.organisation.as_deref().unwrap_or("-"),
        entry.class,
        now.saturating_duration_since(job.arrived).as_millis(),
    );
    gateway.lines.wake();
    let verdict = verdict_receiver.recv().await;
    verdict.unwrap_or(Err(PlacementRefusal::Full.into()))
}

/// What this node knows of the requests that are served before a new one.
#[derive(Debug)]
struct LineForecast {
    /// What waits before it in this node's line.
    own: LinePace,
    /// The same with the lines of the other nodes.
    all: LinePace,
    /// Age of the news of other nodes' lines; `None` without any.
    news_age: Option<Duration>,
}

impl LineForecast {
    fn new(gateway: &Gateway, job: &ForwardJob, entry: &LineEntry, now: Instant) -> Self {
        let own = with_line(gateway, &job.service, |line| {
            line.order.pace_ahead(now, entry)
        });
        let news = gateway.lines.news.borrow();
        let others = news.others(now, engine_key(&job.service), entry.class);
        let all = match &others {
            Some((others, _)) => own.with(others.pace()),
            None => own,
        };
        Self {
            own,
            all,
            news_age: others.map(|(_, age)| age),
        }
    }

    fn check(
        &self,
        gateway: &Gateway,
        job: &ForwardJob,
        entry: &LineEntry,
        now: Instant,
    ) -> Result<(), Duration> {
        with_line(gateway, &job.service, |line| {
            let returns = line.returns.entry(entry.class).or_default();
            returns.check(now, entry, self.own, self.all)
        })
    }

    fn log_refusal(&self, job: &ForwardJob, return_after: Duration) {
        log::info!(
            "event=line_refused request={} service={} reason=turn_too_late own_ahead_ms={} \
             own_pace_ms={} ahead_ms={} pace_ms={} news_age_ms={} return_ms={}",
            job.request.caller_attempt_id,
            job.service,
            self.own.waiting.as_millis(),
            self.own.started_a_second.as_millis(),
            self.all.waiting.as_millis(),
            self.all.started_a_second.as_millis(),
            age_text(self.news_age),
            return_after.as_millis(),
        );
    }
}

/// Returns when the caller of a request that found no room should return; `None` while
/// the pace of the line is unknown.
fn return_time(gateway: &Gateway, waiter: &LineWaiter, now: Instant) -> Option<Duration> {
    let ahead = LineForecast::new(gateway, &waiter.job, &waiter.entry, now).all;
    ahead.time_for(ahead.waiting)?;
    Some(with_line(gateway, &waiter.job.service, |line| {
        let returns = line.returns.entry(waiter.entry.class).or_default();
        returns.schedule(now, &waiter.entry, ahead)
    }))
}

fn age_text(age: Option<Duration>) -> String {
    age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}

/// What nodes tell each other of their lines.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub(crate) enum LineSupplement {
    /// The sender's own lines.
    Own(Vec<LineStatus>),
    /// Sums over all nodes but the receiver, with the age of the oldest report in them
    /// in milliseconds.
    Others(u32, Vec<LineStatus>),
}

/// Returns this node's lines, those with the most work first.
fn own_statuses(gateway: &Gateway, now: Instant) -> Vec<LineStatus> {
    let lines = gateway.lines.lines.borrow();
    let mut statuses = Vec::new();
    for (service, line) in lines.iter() {
        for class in LengthClass::ALL {
            let work = line.order.waiting_work(class);
            let pace = line.order.started_a_second(now, class);
            if work.count > 0 || !pace.is_zero() {
                statuses.push(LineStatus {
                    service: engine_key(service),
                    class: class_number(class),
                    count: u32::try_from(work.count).unwrap_or(u32::MAX),
                    engine_ms: millis(work.engine_time),
                    pace_ms: millis(pace),
                });
            }
        }
    }
    limit_statuses(statuses)
}

fn limit_statuses(mut statuses: Vec<LineStatus>) -> Vec<LineStatus> {
    statuses.sort_by_key(|status| Reverse(status.engine_ms));
    statuses.truncate(STATUSES_PER_SUPPLEMENT);
    statuses
}

/// Returns what this node tells relays of its lines.
pub(crate) fn own_line_supplement(gateway: &Gateway) -> Option<Supplement> {
    if !is_in_line(gateway) {
        return None;
    }
    let content = LineSupplement::Own(own_statuses(gateway, gateway.now()));
    Supplement::encode(SupplementKind::WaitingLines, &content)
}

/// Returns what this node tells an asker of the lines of all others.
pub(crate) fn other_lines_supplement(
    gateway: &Gateway,
    now: Instant,
    asker: SocketAddr,
) -> Option<Supplement> {
    if !is_in_line(gateway) {
        return None;
    }
    let own = own_statuses(gateway, now);
    let mut news = gateway.lines.news.borrow_mut();
    let (age, sums) = news.sums_excluding(now, &asker, &own);
    let content = LineSupplement::Others(millis(age), limit_statuses(sums));
    Supplement::encode(SupplementKind::WaitingLines, &content)
}

/// Records what another node tells.
pub(crate) fn receive_lines(gateway: &Gateway, from: SocketAddr, content: LineSupplement) {
    let now = gateway.now();
    let mut news = gateway.lines.news.borrow_mut();
    match content {
        LineSupplement::Own(lines) => news.record_report(now, from, lines),
        LineSupplement::Others(age_ms, lines) => {
            news.record_sums(now, Duration::from_millis(age_ms.into()), lines);
        }
    }
}

/// Tells those that the bounds leave no place for.
fn shed_overflow(gateway: &Gateway, line: &mut ServiceLine, now: Instant) {
    let bounds = LineBounds {
        requests: LINE_REQUESTS_MAX,
        bytes: LINE_BYTES_MAX,
    };
    while !line.order.is_within(bounds) {
        let Some((id, _)) = line.order.evict(now) else {
            return;
        };
        if let Some(waiter) = line.waiters.remove(&id) {
            log::info!(
                "event=line_overflow request={} service={}",
                waiter.job.request.caller_attempt_id,
                waiter.job.service
            );
            gateway
                .metrics
                .record_line_refusal(&waiter.job.service, "overflow");
            waiter.tell(Err(PlacementRefusal::Full.into()));
        }
    }
}

impl LineWaiter {
    fn tell(&self, verdict: Result<Box<PlacedRequest>, WaitRefusal>) {
        if self.verdict_sender.try_send(verdict).is_err() {
            log::debug!(
                "event=line_verdict_dropped request={}",
                self.job.request.caller_attempt_id
            );
        }
    }
}

fn with_line<T>(
    gateway: &Gateway,
    service: &ServiceName,
    change: impl FnOnce(&mut ServiceLine) -> T,
) -> T {
    let mut lines = gateway.lines.lines.borrow_mut();
    if !lines.contains_key(service) {
        lines.insert(service.clone(), ServiceLine::default());
    }
    match lines.get_mut(service) {
        Some(line) => change(line),
        None => change(&mut ServiceLine::default()),
    }
}

/// Longest wait after which the goal can still be met, as far as an idle fleet tells.
fn goal_wait(job: &ForwardJob, engine: Option<&EngineSpec>) -> Duration {
    let longest_wait = longest_wait(job);
    match (engine, job.request.size) {
        (Some(engine), Some(size)) => {
            let needed = fastest_prefill(engine, size) + FIRST_EVENT_OVERHEAD;
            longest_wait.min(job.route.latency_goal.saturating_sub(needed))
        }
        _ => longest_wait,
    }
}

fn line_entry(gateway: &Gateway, job: &ForwardJob) -> LineEntry {
    let routes = gateway.routes.borrow();
    let spec = routes.state().services.get(&job.service);
    let engine = spec.and_then(|spec| spec.engine.as_ref());
    let size = job.request.size.unwrap_or_default();
    let (class, engine_time) = match engine {
        Some(engine) if needs_several_engines(engine, size) => {
            (LengthClass::Gang, prefill_time(engine, size.prompt, 1))
        }
        Some(engine) => (
            LengthClass::of(size.prompt),
            prefill_time(engine, size.prompt, 1),
        ),
        None => (LengthClass::Short, job.route.latency_goal),
    };
    let organisation = with_line(gateway, &job.service, |line| {
        line.order.intern(job.organisation.as_ref())
    });
    LineEntry {
        organisation,
        priority: job.priority,
        class,
        cost: job_cost(size.prompt, size.answer).max(1),
        engine_time,
        goal_start: job.arrived + goal_wait(job, engine),
        // A prompt that needs several engines is given up when its wait ends.
        deadline_start: if class == LengthClass::Gang {
            job.arrived + longest_wait(job)
        } else {
            job.deadline
        },
        bytes: job.body.len() + ENTRY_OVERHEAD_BYTES,
    }
}

/// Walks the lines whenever room may have appeared, and at intervals while requests
/// wait.
pub(crate) async fn keep_lines(gateway: Rc<Gateway>) {
    let wake_receiver = gateway.lines.wake_receiver.clone();
    loop {
        let woken = async {
            // The sender lives as long as the gateway.
            let _ = wake_receiver.recv().await;
        };
        if gateway.lines.is_empty() {
            woken.await;
        } else {
            or(woken, gateway.clock.sleep(PLACEMENT_RETRY_PAUSE)).await;
        }
        let services: Vec<ServiceName> = {
            let lines = gateway.lines.lines.borrow();
            lines.keys().cloned().collect()
        };
        for service in services {
            walk_line(&gateway, &service);
            record_lengths(&gateway, &service);
        }
    }
}

/// A placement that found no room in this walk.
#[derive(Debug)]
struct FailedPlacement {
    job: Rc<ForwardJob>,
    is_strict: bool,
    class: LengthClass,
    cost: TokenCount,
    /// Longest prefill that the request accepted.
    limit: Duration,
}

impl FailedPlacement {
    /// Whether another request finds no room either: one that costs as much, accepts no
    /// more and may go to the same upstreams.
    fn rules_out(&self, other: &Self) -> bool {
        self.is_strict == other.is_strict
            && self.class == other.class
            && self.cost <= other.cost
            && self.limit >= other.limit
            && self.job.homes == other.job.homes
    }
}

/// Asks for placements of the next requests in order; each placement counts as load
/// before the next one is asked for.
fn walk_line(gateway: &Rc<Gateway>, service: &ServiceName) {
    let now = gateway.now();
    let order = with_line(gateway, service, |line| {
        line.order.next_in_order(now, WALK_DEPTH)
    });
    let mut failures: Vec<FailedPlacement> = Vec::new();
    let mut placements = 0;
    for id in order {
        let waiter = with_line(gateway, service, |line| line.waiters.get(&id).cloned());
        let Some(waiter) = waiter else {
            continue;
        };
        let is_strict = prompt_goals(gateway, &waiter.job).is_strict();
        let limit = match wait_limits(&waiter.job, now) {
            PlacementWait::Expired => None,
            PlacementWait::Allowed { .. } if is_strict => Some(Duration::ZERO),
            PlacementWait::Allowed {
                max_prefill_time, ..
            } => Some(max_prefill_time),
        };
        let failure = limit.map(|limit| FailedPlacement {
            job: Rc::clone(&waiter.job),
            is_strict,
            class: waiter.entry.class,
            cost: waiter.entry.cost,
            limit,
        });
        if let Some(failure) = &failure
            && failures.iter().any(|failed| failed.rules_out(failure))
        {
            continue;
        }
        if placements == WALK_PLACEMENTS_MAX {
            break;
        }
        placements += 1;
        let verdict = match try_to_place(gateway, &waiter.job, &waiter.tried) {
            PlacementStep::Wait => {
                failures.extend(failure.filter(|_| waiter.tried.is_empty()));
                continue;
            }
            PlacementStep::Placed(placed) => Ok(placed),
            PlacementStep::Refused(reason) => Err(WaitRefusal {
                reason,
                return_after: return_time(gateway, &waiter, now),
            }),
        };
        end_wait(gateway, service, now, id, &waiter, verdict);
    }
}

fn end_wait(
    gateway: &Gateway,
    service: &ServiceName,
    now: Instant,
    id: EntryId,
    waiter: &LineWaiter,
    verdict: Result<Box<PlacedRequest>, WaitRefusal>,
) {
    let waiting_time = now.saturating_duration_since(waiter.entered_at);
    let length = with_line(gateway, service, |line| {
        if verdict.is_ok() {
            line.order.take_to_start(now, id);
        } else {
            line.order.remove(now, id);
        }
        line.waiters.remove(&id);
        line.order.len()
    });
    log::info!(
        "event=line_ended request={} service={service} outcome={} waited_ms={} left={length} \
         load_age_ms={}",
        waiter.job.request.caller_attempt_id,
        match &verdict {
            Ok(_) => "placed",
            Err(refusal) => refusal_label(refusal.reason),
        },
        waiting_time.as_millis(),
        age_text(gateway.loads.borrow().known_age(now))
    );
    record_wait_end(gateway, &waiter.job, waiting_time, &verdict);
    waiter.tell(verdict);
}

fn record_wait_end(
    gateway: &Gateway,
    job: &ForwardJob,
    waiting_time: Duration,
    verdict: &Result<Box<PlacedRequest>, WaitRefusal>,
) {
    let metrics = &gateway.metrics;
    metrics
        .line_wait_seconds
        .observe(waiting_time.as_secs_f64());
    if let Err(refusal) = verdict {
        metrics.record_line_refusal(&job.service, refusal_label(refusal.reason));
    }
}

fn refusal_label(refusal: PlacementRefusal) -> &'static str {
    match refusal {
        PlacementRefusal::NoUpstream => "no_upstream",
        PlacementRefusal::Paused(_) => "paused",
        PlacementRefusal::Full => "full",
        PlacementRefusal::NeedsIdleEngines => "needs_idle_engines",
        PlacementRefusal::TooLarge => "too_large",
        PlacementRefusal::Evacuated => "evacuated",
        PlacementRefusal::OutsideHomes => "outside_homes",
    }
}

/// Sets the gauges of the line's length.
fn record_lengths(gateway: &Gateway, service: &ServiceName) {
    with_line(gateway, service, |line| {
        for class in LengthClass::ALL {
            let work = line.order.waiting_work(class);
            gateway
                .metrics
                .record_line_length(service, class, work.count);
        }
    });
}
