//! Virtual token counters: what each organisation was served, by weight.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use types::{NodeId, OrganisationId, PlanKind, TokenCount};

/// Tokens served, scaled by `WEIGHT_SCALE` and divided by the weight.
pub type VirtualTokens = u64;

/// Names an organisation within one `ShareTable`.
pub type OrganisationIndex = u32;

/// Time over which recent service is counted, once or twice.
const EPOCH: Duration = Duration::from_secs(20);
/// Times its fair share that an organisation may take before it is over it.
const OVER_SHARE: f64 = 1.5;
/// Jobs waiting here that make a backlog.
const BACKLOG_MIN: u32 = 8;
/// Keeps the division by a weight precise.
const WEIGHT_SCALE: u64 = 1_024;

/// What one organisation was served by this node since it started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Tokens served.
    pub tokens: TokenCount,
    /// Attempts that run now.
    pub running: u32,
}

#[derive(Debug)]
struct ShareEntry {
    organisation: OrganisationId,
    plan: PlanKind,
    weight: u64,
    counter: VirtualTokens,
    served: TokenCount,
    /// Tokens charged too much: taken off later charges, so that `served`
    /// never falls.
    owed: TokenCount,
    told: TokenCount,
    queued: u32,
    queued_cost: TokenCount,
    running: u32,
    recent: RecentTokens,
    /// Cost of jobs that came while there was a backlog.
    backlog: RecentTokens,
    remote: BTreeMap<NodeId, RemoteShare>,
}

/// Tokens of the present epoch and of the one before.
#[derive(Clone, Copy, Debug, Default)]
struct RecentTokens {
    epoch: u64,
    now: TokenCount,
    before: TokenCount,
}

impl RecentTokens {
    fn turn(&mut self, epoch: u64) {
        if self.epoch == epoch {
            return;
        }
        self.before = if self.epoch + 1 == epoch { self.now } else { 0 };
        self.now = 0;
        self.epoch = epoch;
    }

    fn add(&mut self, epoch: u64, tokens: TokenCount) {
        self.turn(epoch);
        self.now = self.now.saturating_add(tokens);
    }

    fn most(mut self, epoch: u64) -> TokenCount {
        self.turn(epoch);
        self.now.max(self.before)
    }

    fn sum(mut self, epoch: u64) -> TokenCount {
        self.turn(epoch);
        self.now.saturating_add(self.before)
    }
}

#[derive(Clone, Copy, Debug)]
struct RemoteShare {
    tokens: TokenCount,
    running: u32,
}

/// Counters of the organisations a node has met; grows with them only.
///
/// An organisation that becomes active starts at the least counter of the
/// active ones of its plan, so idle time is not banked; one that was served
/// elsewhere meanwhile starts at most `lead` tokens above it.
#[derive(Debug)]
pub struct ShareTable {
    entries: Vec<ShareEntry>,
    names: HashMap<OrganisationId, OrganisationIndex>,
    active: [BTreeSet<(VirtualTokens, OrganisationIndex)>; 2],
    active_weight: [u64; 2],
    queued_cost: [TokenCount; 2],
    floors: [VirtualTokens; 2],
    lead: TokenCount,
    epoch: u64,
    recent: [RecentTokens; 2],
    /// Weight of the organisations served in the epoch.
    recent_weight: [RecentTokens; 2],
}

impl ShareTable {
    /// A table where a newly active organisation is at most `lead` tokens
    /// behind the others.
    #[must_use]
    pub fn new(lead: TokenCount) -> Self {
        Self {
            entries: Vec::new(),
            names: HashMap::new(),
            active: [BTreeSet::new(), BTreeSet::new()],
            active_weight: [0; 2],
            queued_cost: [0; 2],
            floors: [0; 2],
            lead,
            epoch: 0,
            recent: [RecentTokens::default(); 2],
            recent_weight: [RecentTokens::default(); 2],
        }
    }

    /// Moves to the epoch of a time since some fixed start.
    pub fn advance_to(&mut self, since_start: Duration) {
        let epoch = since_start.as_secs() / EPOCH.as_secs();
        self.epoch = self.epoch.max(epoch);
    }

    /// Whether the organisation took more than its fair share lately and had
    /// a backlog here that would take more still.
    #[must_use]
    pub fn is_over_share(&self, index: OrganisationIndex) -> bool {
        let Some(entry) = self.entries.get(index as usize) else {
            return false;
        };
        if entry.backlog.sum(self.epoch) == 0 {
            return false;
        }
        let slot = plan_slot(entry.plan);
        let own = entry.recent.sum(self.epoch);
        let total = self.recent[slot].sum(self.epoch);
        let weight = self.recent_weight[slot].most(self.epoch).max(entry.weight);
        ratio(own, entry.weight) > OVER_SHARE * ratio(total, weight)
    }

    /// The organisation's index, with plan and weight as they are now.
    pub fn intern(
        &mut self,
        organisation: &OrganisationId,
        plan: PlanKind,
        weight: u32,
    ) -> OrganisationIndex {
        let weight = u64::from(weight.max(1));
        if let Some(index) = self.names.get(organisation).copied() {
            self.change_plan(index, plan, weight);
            return index;
        }
        let index = OrganisationIndex::try_from(self.entries.len()).unwrap_or(u32::MAX);
        self.entries.push(ShareEntry {
            organisation: organisation.clone(),
            plan,
            weight,
            counter: 0,
            served: 0,
            owed: 0,
            told: 0,
            queued: 0,
            queued_cost: 0,
            running: 0,
            recent: RecentTokens::default(),
            backlog: RecentTokens::default(),
            remote: BTreeMap::new(),
        });
        self.names.insert(organisation.clone(), index);
        index
    }

    /// Counts a job that began to wait.
    pub fn enqueue(&mut self, index: OrganisationIndex, cost: TokenCount) {
        let Some(entry) = self.entries.get_mut(index as usize) else {
            return;
        };
        entry.queued += 1;
        entry.queued_cost = entry.queued_cost.saturating_add(cost);
        self.queued_cost[plan_slot(entry.plan)] += cost;
        if entry.queued >= BACKLOG_MIN {
            entry.backlog.add(self.epoch, cost);
        }
        if entry.queued == 1 {
            self.activate(index);
        }
    }

    /// Counts a job that waits no more.
    pub fn dequeue(&mut self, index: OrganisationIndex, cost: TokenCount) {
        let Some(entry) = self.entries.get_mut(index as usize) else {
            return;
        };
        entry.queued = entry.queued.saturating_sub(1);
        entry.queued_cost = entry.queued_cost.saturating_sub(cost);
        let total = &mut self.queued_cost[plan_slot(entry.plan)];
        *total = total.saturating_sub(cost);
        if entry.queued == 0 {
            self.deactivate(index);
        }
    }

    /// Charges tokens that the organisation is being served by this node.
    pub fn charge(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            let owed = entry.owed.min(tokens);
            entry.owed -= owed;
            entry.served = entry.served.saturating_add(tokens - owed);
        }
        self.advance(index, tokens);
    }

    /// Takes back a part of a charge that was not served after all.
    pub fn refund(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let Some(entry) = self.entries.get(index as usize) else {
            return;
        };
        let virtual_tokens = tokens.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.saturating_sub(virtual_tokens);
        let owed = entry.owed.saturating_add(tokens);
        self.set_counter(index, counter);
        self.entries[index as usize].owed = owed;
    }

    /// Counts an attempt that began to run.
    pub fn start(&mut self, index: OrganisationIndex) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            entry.running += 1;
        }
    }

    /// Counts an attempt that ended.
    pub fn stop(&mut self, index: OrganisationIndex) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Merges the tokens another node says it has served since it started.
    ///
    /// A lower figure than before is that of a new life of the node.
    pub fn merge_remote(
        &mut self,
        node: &NodeId,
        organisation: &OrganisationId,
        tokens: TokenCount,
        running: u32,
    ) {
        let Some(index) = self.names.get(organisation).copied() else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        let share = RemoteShare { tokens, running };
        let Some(before) = entry.remote.insert(node.clone(), share) else {
            return;
        };
        let served = match tokens.checked_sub(before.tokens) {
            Some(served) => served,
            None => tokens,
        };
        self.advance(index, served);
    }

    /// Forgets what a node said, after it left.
    pub fn forget_node(&mut self, node: &NodeId) {
        for entry in &mut self.entries {
            entry.remote.remove(node);
        }
    }

    /// The counter fairness goes by; the lowest is served next.
    #[must_use]
    pub fn counter(&self, index: OrganisationIndex) -> VirtualTokens {
        self.entries
            .get(index as usize)
            .map_or(0, |entry| entry.counter)
    }

    /// Name of an organisation.
    #[must_use]
    pub fn name(&self, index: OrganisationIndex) -> Option<&OrganisationId> {
        self.entries
            .get(index as usize)
            .map(|entry| &entry.organisation)
    }

    /// Cost of what the organisation has waiting here.
    #[must_use]
    pub fn queued_cost(&self, index: OrganisationIndex) -> TokenCount {
        self.entries
            .get(index as usize)
            .map_or(0, |entry| entry.queued_cost)
    }

    /// Attempts of the organisation that run here and elsewhere.
    #[must_use]
    pub fn running(&self, index: OrganisationIndex) -> u32 {
        let Some(entry) = self.entries.get(index as usize) else {
            return 0;
        };
        let remote: u32 = entry.remote.values().map(|share| share.running).sum();
        entry.running.saturating_add(remote)
    }

    /// Part of what its plan has waiting that is served before a new job of
    /// the organisation and `cost`, at fair shares.
    #[must_use]
    pub fn fraction_ahead(&self, index: OrganisationIndex, cost: TokenCount) -> f64 {
        let Some(entry) = self.entries.get(index as usize) else {
            return 1.0;
        };
        let total = self.queued_cost[plan_slot(entry.plan)];
        let own = entry.queued_cost.saturating_add(cost);
        let fair = self.fair_fraction(index) * ratio(total.saturating_add(cost), 1);
        (ratio(own, 1) / fair.max(1.0)).min(1.0)
    }

    /// The same for an organisation of weight 1 that has nothing waiting.
    #[must_use]
    pub fn newcomer_fraction_ahead(&self, plan: PlanKind, cost: TokenCount) -> f64 {
        let slot = plan_slot(plan);
        let total = self.queued_cost[slot].saturating_add(cost);
        let fair = ratio(total, self.active_weight[slot] + 1);
        (ratio(cost, 1) / fair.max(1.0)).min(1.0)
    }

    /// Part of its plan's service that the organisation gets while all that
    /// wait now go on waiting; 1 when it is alone.
    #[must_use]
    pub fn fair_fraction(&self, index: OrganisationIndex) -> f64 {
        let Some(entry) = self.entries.get(index as usize) else {
            return 1.0;
        };
        let mut total = self.active_weight[plan_slot(entry.plan)];
        if entry.queued == 0 {
            total += entry.weight;
        }
        ratio(entry.weight, total.max(1))
    }

    /// The organisations of one plan that wait, highest counter first.
    pub fn waiting_highest_first(
        &self,
        plan: PlanKind,
    ) -> impl Iterator<Item = OrganisationIndex> + '_ {
        self.active[plan_slot(plan)]
            .iter()
            .rev()
            .map(|(_, index)| *index)
    }

    /// The organisations served most since they were last told of, `limit`
    /// at most; marks them as told.
    pub fn take_unreported(&mut self, limit: usize) -> Vec<UsageReport> {
        let mut fresh: Vec<(TokenCount, OrganisationIndex)> = (0..)
            .zip(&self.entries)
            .map(|(index, entry)| (entry.served.abs_diff(entry.told), index))
            .filter(|(untold, _)| *untold > 0)
            .collect();
        if fresh.len() > limit {
            fresh.select_nth_unstable_by(limit, |left, right| right.cmp(left));
            fresh.truncate(limit);
        }
        fresh.sort_unstable_by(|left, right| right.cmp(left));
        fresh
            .into_iter()
            .map(|(_, index)| self.tell(index))
            .collect()
    }

    fn tell(&mut self, index: OrganisationIndex) -> UsageReport {
        let entry = &mut self.entries[index as usize];
        entry.told = entry.served;
        UsageReport {
            organisation: entry.organisation.clone(),
            tokens: entry.served,
            running: entry.running,
        }
    }

    fn activate(&mut self, index: OrganisationIndex) {
        let entry = &self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        let floor = self.floor(slot);
        let lead = self.lead.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.clamp(floor, floor.saturating_add(lead));
        self.active_weight[slot] += entry.weight;
        self.entries[index as usize].counter = counter;
        self.active[slot].insert((counter, index));
    }

    fn deactivate(&mut self, index: OrganisationIndex) {
        let entry = &self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        self.floors[slot] = self.floor(slot);
        if self.active[slot].remove(&(entry.counter, index)) {
            self.active_weight[slot] = self.active_weight[slot].saturating_sub(entry.weight);
        }
        self.floors[slot] = self.floor(slot);
    }

    fn advance(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let Some(entry) = self.entries.get(index as usize) else {
            return;
        };
        let added = tokens.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.saturating_add(added);
        self.set_counter(index, counter);
        self.count_recent(index, tokens);
    }

    fn count_recent(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let epoch = self.epoch;
        let entry = &mut self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        entry.recent.turn(epoch);
        if entry.recent.now == 0 {
            self.recent_weight[slot].add(epoch, entry.weight);
        }
        entry.recent.add(epoch, tokens);
        self.recent[slot].add(epoch, tokens);
    }

    fn set_counter(&mut self, index: OrganisationIndex, counter: VirtualTokens) {
        let entry = &mut self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        let before = entry.counter;
        entry.counter = counter;
        if self.active[slot].remove(&(before, index)) {
            self.active[slot].insert((counter, index));
        }
    }

    fn change_plan(&mut self, index: OrganisationIndex, plan: PlanKind, weight: u64) {
        let entry = &self.entries[index as usize];
        if entry.plan == plan && entry.weight == weight {
            return;
        }
        let waits = entry.queued > 0;
        if waits {
            self.deactivate(index);
        }
        let entry = &mut self.entries[index as usize];
        let before = &mut self.queued_cost[plan_slot(entry.plan)];
        *before = before.saturating_sub(entry.queued_cost);
        self.queued_cost[plan_slot(plan)] += entry.queued_cost;
        entry.plan = plan;
        entry.weight = weight;
        if waits {
            self.activate(index);
        }
    }

    /// Least counter of the active ones; never falls.
    fn floor(&self, slot: usize) -> VirtualTokens {
        let least = self.active[slot].first().map_or(0, |(counter, _)| *counter);
        least.max(self.floors[slot])
    }
}

pub(crate) fn plan_slot(plan: PlanKind) -> usize {
    match plan {
        PlanKind::Paying => 0,
        PlanKind::Trial => 1,
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
