//! Virtual token counters for fair sharing: the cost charged to each
//! organisation, in prefilled prompt tokens, divided by its weight.
//!
//! The cost of a job, as `job_cost` returns it, is charged when the job starts.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use types::{NodeId, OrganisationId, PlanKind, TokenCount};

/// Cost charged, multiplied by `WEIGHT_SCALE` and divided by the weight of the
/// organisation.
pub type VirtualTokens = u64;

/// Index of an organisation within one `ShareTable`.
pub type OrganisationIndex = u32;

/// Length of an epoch. Recent charges are counted over the current epoch and the
/// one before it.
const EPOCH: Duration = Duration::from_secs(20);
/// Multiple of its fair share of recent charges above which an organisation is
/// over its share.
const OVER_SHARE_FACTOR: f64 = 1.5;
/// Minimum number of queued jobs of one organisation on this node that counts as
/// its backlog.
const MIN_BACKLOG_JOBS: u32 = 8;
/// Scale of `VirtualTokens`, which limits rounding in the division by a weight.
const WEIGHT_SCALE: u64 = 1_024;

/// Usage of one organisation on this node, as nodes report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// Organisation that was charged.
    pub organisation: OrganisationId,
    /// Cost charged since this node started, in prefilled prompt tokens; never
    /// decreases.
    pub tokens: TokenCount,
    /// Number of attempts running on this node.
    pub running: u32,
}

#[derive(Debug)]
struct ShareEntry {
    organisation: OrganisationId,
    plan: PlanKind,
    weight: u64,
    counter: VirtualTokens,
    charged: TokenCount,
    /// Refunded tokens that later charges use up first, so that `charged` never
    /// decreases.
    refund_credit: TokenCount,
    reported: TokenCount,
    queued: u32,
    queued_cost: TokenCount,
    running: u32,
    recent: EpochCounter,
    /// Cost of the jobs that were queued while there was a backlog.
    backlog: EpochCounter,
    remote: BTreeMap<NodeId, RemoteUsage>,
}

/// Amount, in tokens or weights, counted in the current epoch and in the previous
/// one.
#[derive(Clone, Copy, Debug, Default)]
struct EpochCounter {
    epoch: u64,
    current: TokenCount,
    previous: TokenCount,
}

impl EpochCounter {
    fn roll_over(&mut self, epoch: u64) {
        if self.epoch == epoch {
            return;
        }
        self.previous = if self.epoch + 1 == epoch {
            self.current
        } else {
            0
        };
        self.current = 0;
        self.epoch = epoch;
    }

    fn add(&mut self, epoch: u64, amount: TokenCount) {
        self.roll_over(epoch);
        self.current = self.current.saturating_add(amount);
    }

    fn epoch_max(mut self, epoch: u64) -> TokenCount {
        self.roll_over(epoch);
        self.current.max(self.previous)
    }

    fn epoch_sum(mut self, epoch: u64) -> TokenCount {
        self.roll_over(epoch);
        self.current.saturating_add(self.previous)
    }
}

#[derive(Clone, Copy, Debug)]
struct RemoteUsage {
    tokens: TokenCount,
    running: u32,
}

/// Counters of all organisations that this node has seen requests of.
///
/// An organisation is active while it has queued jobs. When it becomes active,
/// its counter is raised to at least the lowest counter of its plan (see
/// `lowest_counter`), so idle time earns no credit. It is lowered to at most
/// `max_lead` tokens, divided by its weight, above that; charges of other nodes
/// are included.
///
/// The table grows with the number of organisations times the number of nodes
/// that report usage.
#[derive(Debug)]
pub struct ShareTable {
    entries: Vec<ShareEntry>,
    indexes: HashMap<OrganisationId, OrganisationIndex>,
    active: [BTreeSet<(VirtualTokens, OrganisationIndex)>; 2],
    active_weight: [u64; 2],
    queued_cost: [TokenCount; 2],
    counter_floors: [VirtualTokens; 2],
    max_lead: TokenCount,
    epoch: u64,
    recent: [EpochCounter; 2],
    /// Total weight of the organisations charged in the epoch.
    recent_weight: [EpochCounter; 2],
}

impl ShareTable {
    /// Creates a table in which the counter of a newly active organisation is at
    /// most `max_lead` tokens, divided by its weight, above the lowest one of its
    /// plan.
    #[must_use]
    pub fn new(max_lead: TokenCount) -> Self {
        Self {
            entries: Vec::new(),
            indexes: HashMap::new(),
            active: [BTreeSet::new(), BTreeSet::new()],
            active_weight: [0; 2],
            queued_cost: [0; 2],
            counter_floors: [0; 2],
            max_lead,
            epoch: 0,
            recent: [EpochCounter::default(); 2],
            recent_weight: [EpochCounter::default(); 2],
        }
    }

    /// Advances to the epoch that contains `since_start`, the time since a fixed
    /// start; never goes back.
    pub fn advance_to(&mut self, since_start: Duration) {
        let epoch = since_start.as_secs() / EPOCH.as_secs();
        self.epoch = self.epoch.max(epoch);
    }

    /// Whether the organisation was charged more than 1.5 times its fair share
    /// in the current and the previous epoch (20 seconds each) and had a backlog
    /// here in that time. Refunds are not deducted.
    #[must_use]
    pub fn is_over_share(&self, index: OrganisationIndex) -> bool {
        let Some(entry) = self.entries.get(index as usize) else {
            return false;
        };
        if entry.backlog.epoch_sum(self.epoch) == 0 {
            return false;
        }
        let slot = plan_slot(entry.plan);
        let own = entry.recent.epoch_sum(self.epoch);
        let total = self.recent[slot].epoch_sum(self.epoch);
        let weight = self.recent_weight[slot]
            .epoch_max(self.epoch)
            .max(entry.weight);
        ratio(own, entry.weight) > OVER_SHARE_FACTOR * ratio(total, weight)
    }

    /// Returns the organisation's index, adding it if new, and sets its plan and
    /// weight; a weight of 0 counts as 1.
    pub fn intern(
        &mut self,
        organisation: &OrganisationId,
        plan: PlanKind,
        weight: u32,
    ) -> OrganisationIndex {
        let weight = u64::from(weight.max(1));
        if let Some(index) = self.indexes.get(organisation).copied() {
            self.set_plan_and_weight(index, plan, weight);
            return index;
        }
        let index = OrganisationIndex::try_from(self.entries.len()).unwrap_or(u32::MAX);
        self.entries.push(ShareEntry {
            organisation: organisation.clone(),
            plan,
            weight,
            counter: 0,
            charged: 0,
            refund_credit: 0,
            reported: 0,
            queued: 0,
            queued_cost: 0,
            running: 0,
            recent: EpochCounter::default(),
            backlog: EpochCounter::default(),
            remote: BTreeMap::new(),
        });
        self.indexes.insert(organisation.clone(), index);
        index
    }

    /// Counts a job of `cost` that was added to the queue.
    pub fn count_queued(&mut self, index: OrganisationIndex, cost: TokenCount) {
        let Some(entry) = self.entries.get_mut(index as usize) else {
            return;
        };
        entry.queued += 1;
        entry.queued_cost = entry.queued_cost.saturating_add(cost);
        self.queued_cost[plan_slot(entry.plan)] += cost;
        if entry.queued >= MIN_BACKLOG_JOBS {
            entry.backlog.add(self.epoch, cost);
        }
        if entry.queued == 1 {
            self.activate(index);
        }
    }

    /// Counts a job of `cost` that left the queue.
    pub fn count_dequeued(&mut self, index: OrganisationIndex, cost: TokenCount) {
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

    /// Charges the organisation the cost of a job that this node starts, in
    /// prefilled prompt tokens.
    pub fn charge(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            let refund_credit = entry.refund_credit.min(tokens);
            entry.refund_credit -= refund_credit;
            entry.charged = entry.charged.saturating_add(tokens - refund_credit);
        }
        self.add_charge(index, tokens);
    }

    /// Refunds charged tokens that the job did not use.
    pub fn refund(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let Some(entry) = self.entries.get(index as usize) else {
            return;
        };
        let virtual_tokens = tokens.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.saturating_sub(virtual_tokens);
        let refund_credit = entry.refund_credit.saturating_add(tokens);
        self.update_counter(index, counter);
        self.entries[index as usize].refund_credit = refund_credit;
    }

    /// Counts the start of an attempt.
    pub fn record_start(&mut self, index: OrganisationIndex) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            entry.running += 1;
        }
    }

    /// Counts the end of an attempt.
    pub fn record_end(&mut self, index: OrganisationIndex) {
        if let Some(entry) = self.entries.get_mut(index as usize) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Merges the usage that another node reports: the cost it charged since it
    /// started, and its running attempts.
    ///
    /// The first report of a node is a baseline, from which only the running
    /// attempts count. A lower cost than before means that the node restarted.
    /// Reports on organisations that are not in the table are ignored.
    pub fn merge_remote(
        &mut self,
        node: &NodeId,
        organisation: &OrganisationId,
        tokens: TokenCount,
        running: u32,
    ) {
        let Some(index) = self.indexes.get(organisation).copied() else {
            return;
        };
        let entry = &mut self.entries[index as usize];
        let usage = RemoteUsage { tokens, running };
        let Some(before) = entry.remote.insert(node.clone(), usage) else {
            return;
        };
        let charged = match tokens.checked_sub(before.tokens) {
            Some(charged) => charged,
            None => tokens,
        };
        self.add_charge(index, charged);
    }

    /// Removes the reports of a node that left the fleet.
    pub fn forget_node(&mut self, node: &NodeId) {
        for entry in &mut self.entries {
            entry.remote.remove(node);
        }
    }

    /// Virtual token counter; the organisation with the lowest one is served
    /// next.
    #[must_use]
    pub fn counter(&self, index: OrganisationIndex) -> VirtualTokens {
        self.entries
            .get(index as usize)
            .map_or(0, |entry| entry.counter)
    }

    /// Id of an organisation; `None` for an index that is not in the table.
    #[must_use]
    pub fn organisation_id(&self, index: OrganisationIndex) -> Option<&OrganisationId> {
        self.entries
            .get(index as usize)
            .map(|entry| &entry.organisation)
    }

    /// Total cost of the organisation's jobs queued on this node.
    #[must_use]
    pub fn queued_cost(&self, index: OrganisationIndex) -> TokenCount {
        self.entries
            .get(index as usize)
            .map_or(0, |entry| entry.queued_cost)
    }

    /// Number of the organisation's attempts running on this and other nodes.
    #[must_use]
    pub fn running(&self, index: OrganisationIndex) -> u32 {
        let Some(entry) = self.entries.get(index as usize) else {
            return 0;
        };
        let remote: u32 = entry.remote.values().map(|usage| usage.running).sum();
        entry.running.saturating_add(remote)
    }

    /// Fraction (0 to 1) of its plan's queued cost that fair sharing serves
    /// before a new job of this organisation that costs `cost`; 1 for an unknown
    /// index.
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

    /// The same as `fraction_ahead` for an organisation of weight 1 without
    /// queued jobs.
    #[must_use]
    pub fn newcomer_fraction_ahead(&self, plan: PlanKind, cost: TokenCount) -> f64 {
        let slot = plan_slot(plan);
        let total = self.queued_cost[slot].saturating_add(cost);
        let fair = ratio(total, self.active_weight[slot] + 1);
        (ratio(cost, 1) / fair.max(1.0)).min(1.0)
    }

    /// Fraction of its plan's service that the organisation gets while the
    /// currently active organisations stay active; 1 when it is the only one, and
    /// for an unknown index.
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

    /// Organisations of one plan with queued jobs, highest counter first.
    pub fn waiting_highest_first(
        &self,
        plan: PlanKind,
    ) -> impl Iterator<Item = OrganisationIndex> + '_ {
        self.active[plan_slot(plan)]
            .iter()
            .rev()
            .map(|(_, index)| *index)
    }

    /// Usage reports of the `limit` organisations that were charged most since
    /// their last report; marks them as reported.
    pub fn take_unreported(&mut self, limit: usize) -> Vec<UsageReport> {
        let mut unreported_usage: Vec<(TokenCount, OrganisationIndex)> = (0..)
            .zip(&self.entries)
            .map(|(index, entry)| (entry.charged.abs_diff(entry.reported), index))
            .filter(|(unreported, _)| *unreported > 0)
            .collect();
        if unreported_usage.len() > limit {
            unreported_usage.select_nth_unstable_by(limit, |left, right| right.cmp(left));
            unreported_usage.truncate(limit);
        }
        unreported_usage.sort_unstable_by(|left, right| right.cmp(left));
        unreported_usage
            .into_iter()
            .map(|(_, index)| self.report_usage(index))
            .collect()
    }

    fn report_usage(&mut self, index: OrganisationIndex) -> UsageReport {
        let entry = &mut self.entries[index as usize];
        entry.reported = entry.charged;
        UsageReport {
            organisation: entry.organisation.clone(),
            tokens: entry.charged,
            running: entry.running,
        }
    }

    fn activate(&mut self, index: OrganisationIndex) {
        let entry = &self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        let floor = self.lowest_counter(slot);
        let max_lead = self.max_lead.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.clamp(floor, floor.saturating_add(max_lead));
        self.active_weight[slot] += entry.weight;
        self.entries[index as usize].counter = counter;
        self.active[slot].insert((counter, index));
    }

    fn deactivate(&mut self, index: OrganisationIndex) {
        let entry = &self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        self.counter_floors[slot] = self.lowest_counter(slot);
        if self.active[slot].remove(&(entry.counter, index)) {
            self.active_weight[slot] = self.active_weight[slot].saturating_sub(entry.weight);
        }
        self.counter_floors[slot] = self.lowest_counter(slot);
    }

    fn add_charge(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let Some(entry) = self.entries.get(index as usize) else {
            return;
        };
        let added = tokens.saturating_mul(WEIGHT_SCALE) / entry.weight;
        let counter = entry.counter.saturating_add(added);
        self.update_counter(index, counter);
        self.count_recent(index, tokens);
    }

    fn count_recent(&mut self, index: OrganisationIndex, tokens: TokenCount) {
        let epoch = self.epoch;
        let entry = &mut self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        entry.recent.roll_over(epoch);
        if entry.recent.current == 0 {
            self.recent_weight[slot].add(epoch, entry.weight);
        }
        entry.recent.add(epoch, tokens);
        self.recent[slot].add(epoch, tokens);
    }

    fn update_counter(&mut self, index: OrganisationIndex, counter: VirtualTokens) {
        let entry = &mut self.entries[index as usize];
        let slot = plan_slot(entry.plan);
        let before = entry.counter;
        entry.counter = counter;
        if self.active[slot].remove(&(before, index)) {
            self.active[slot].insert((counter, index));
        }
    }

    fn set_plan_and_weight(&mut self, index: OrganisationIndex, plan: PlanKind, weight: u64) {
        let entry = &self.entries[index as usize];
        if entry.plan == plan && entry.weight == weight {
            return;
        }
        let has_queued_jobs = entry.queued > 0;
        if has_queued_jobs {
            self.deactivate(index);
        }
        let entry = &mut self.entries[index as usize];
        let before = &mut self.queued_cost[plan_slot(entry.plan)];
        *before = before.saturating_sub(entry.queued_cost);
        self.queued_cost[plan_slot(plan)] += entry.queued_cost;
        entry.plan = plan;
        entry.weight = weight;
        if has_queued_jobs {
            self.activate(index);
        }
    }

    /// Lowest counter of the active organisations of a plan, but at least the
    /// value in `counter_floors`, which is stored when an organisation becomes
    /// inactive. Refunds can lower the result down to that value.
    fn lowest_counter(&self, slot: usize) -> VirtualTokens {
        let lowest = self.active[slot].first().map_or(0, |(counter, _)| *counter);
        lowest.max(self.counter_floors[slot])
    }
}

pub(crate) fn plan_slot(plan: PlanKind) -> usize {
    match plan {
        PlanKind::Paying => 0,
        PlanKind::Trial => 1,
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator as f64
}
