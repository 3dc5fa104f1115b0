//! The reducers of one process for one grant.

use {
    super::{
        ACCOUNT_IDLE_TIMEOUT, DemandReport, IDLE_TIMEOUT, MAX_WAIT, Output, ShareUpdate, Tier,
        Topology,
        link::{OWN_FRACTION, ParentLink, set_parent},
    },
    crate::{
        accounts::{
            account_of,
            quota::{DEMAND_WINDOW, ShareView},
        },
        limits::{Answer, Child, LeasePolicy, Limiter, Relay},
        model::{DaemonName, GrantKey},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// A call with less remaining wait requests no credit, which would arrive too late.
const MIN_REMAINING_WAIT: Duration = Duration::from_millis(50);
/// Minimum time between two runs for one grant.
const MIN_RUN_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which waiting calls are reported again.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Inputs that are the same for all grants of a process, and the capacity of the grant.
#[derive(Debug)]
pub(super) struct Context<'a> {
    pub(super) me: &'a DaemonName,
    pub(super) tier: Tier,
    pub(super) topology: Topology,
    /// Capacity of the grant in calls per second; 0 if the configuration lacks the grant.
    pub(super) capacity: u32,
    pub(super) now: Instant,
    /// Whether the guarantees that a predecessor in this role issued to children have expired.
    pub(super) predecessor_expired: bool,
}

/// Returns the policies of the relays of a grant for daemons and for data centres.
fn policies(grant: &GrantKey) -> (LeasePolicy, LeasePolicy) {
    match account_of(grant.plan.as_str()) {
        Some(_) => (
            LeasePolicy::account_daemons(),
            LeasePolicy::account_data_centres(),
        ),
        None => (LeasePolicy::relay(), LeasePolicy::relay()),
    }
}

/// Message between two reducers of a grant in the same process.
#[derive(Debug)]
enum Message {
    DemandReport(DemandReport),
    ShareUpdate(ShareUpdate),
}

/// A call that waits for capacity.
#[derive(Debug)]
struct WaitingCall {
    id: u64,
    since: Instant,
    /// End of the wait.
    until: Instant,
}

/// All reducers of one grant in this process.
#[derive(Debug)]
pub(super) struct GrantReducers {
    grant: GrantKey,
    daemon: ParentLink<Limiter>,
    data_centre: ParentLink<Relay>,
    region: ParentLink<Relay>,
    waiting_calls: VecDeque<WaitingCall>,
    /// Time of the latest call or report from another process.
    pub(super) last_used: Instant,
    /// Time at which [`GrantReducers::run`] is due; `None` if nothing waits.
    pub(super) next_run: Option<Instant>,
    messages: VecDeque<Message>,
    /// Rate that was last returned in [`Output::changed`], in thousandths of a call per second.
    logged_rate: u64,
}

impl GrantReducers {
    /// Creates the reducers of a grant with the ids `id` to `id + 2`.
    pub(super) fn new(grant: GrantKey, id: u64, now: Instant) -> Self {
        let limiter = match account_of(grant.plan.as_str()) {
            Some(_) => Limiter::new(now).for_account(DEMAND_WINDOW),
            None => Limiter::new(now),
        };
        let (for_daemons, for_data_centres) = policies(&grant);
        Self {
            grant,
            daemon: ParentLink::new(limiter, id),
            data_centre: ParentLink::new(Relay::new(for_daemons, now), id + 1),
            region: ParentLink::new(Relay::new(for_data_centres, now), id + 2),
            waiting_calls: VecDeque::new(),
            last_used: now,
            next_run: None,
            messages: VecDeque::new(),
            logged_rate: 0,
        }
    }

    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        self.last_used = now;
        self.daemon.reducer.try_take(now)
    }

    /// Queues a call that was not let through; returns `false` if too many calls wait.
    pub(super) fn enqueue(&mut self, call: u64, until: Instant, now: Instant) -> bool {
        self.waiting_calls.retain(|call| now < call.until);
        let max_waiters = if self.has_own_fraction() {
            super::MAX_WAITERS
        } else {
            super::MAX_ACCOUNT_WAITERS
        };
        if self.waiting_calls.len() >= max_waiters {
            return false;
        }
        self.waiting_calls.push_back(WaitingCall {
            id: call,
            since: now,
            until: until.min(now + MAX_WAIT),
        });
        self.next_run = Some(now);
        true
    }

    /// Removes a call from the queue; returns whether it still waited.
    pub(super) fn cancel(&mut self, call: u64) -> bool {
        let before = self.waiting_calls.len();
        self.waiting_calls.retain(|waiting| waiting.id != call);
        self.waiting_calls.len() < before
    }

    /// Returns when the current share allows the next call; `None` if that is now or unknown.
    pub(super) fn retry_at(&self, now: Instant) -> Option<Instant> {
        let own = self.daemon.reducer.next_call(now).filter(|at| *at > now);
        own.or_else(|| self.daemon.reducer.next_credit(now))
    }

    /// Returns the share of the daemon, as the quota of an account needs it.
    pub(super) fn share(&mut self, now: Instant) -> ShareView {
        ShareView {
            spill_nano: self.daemon.reducer.take_spill(now),
            rate: self.daemon.reducer.valid(now).rate,
            demand: self.daemon.reducer.reported_demand(),
            next: self.retry_at(now),
            waiting: self.waiting_calls.len(),
            waiting_since: self.waiting_calls.front().map(|call| call.since),
        }
    }

    /// Returns the token of a call that did not run; returns false if the share has no room for it.
    pub(super) fn give_back(&mut self, now: Instant) -> bool {
        self.daemon.reducer.give_back(now)
    }

    /// Returns the time without demand after which the reducers are dropped. The shares of an account
    /// collect its burst, so they are kept for longer.
    pub(super) fn idle_timeout(&self) -> Duration {
        if self.has_own_fraction() {
            IDLE_TIMEOUT
        } else {
            ACCOUNT_IDLE_TIMEOUT
        }
    }

    /// Returns whether a process without a share uses its own fraction of the capacity. The sum of the
    /// fractions may exceed the capacity, so the quota of an account has none.
    fn has_own_fraction(&self) -> bool {
        account_of(self.grant.plan.as_str()).is_none()
    }

    /// Ends the share of the reducer at `tier` because its parent was replaced.
    pub(super) fn detach(&mut self, tier: Tier, now: Instant) {
        match tier {
            Tier::Daemon => {
                self.daemon.reducer.detach(now);
                self.daemon.parent = 0;
            }
            Tier::DataCentre => {
                self.data_centre.reducer.detach(now);
                self.data_centre.parent = 0;
            }
            Tier::Region => {
                self.region.reducer.detach(now);
                self.region.parent = 0;
            }
        }
    }

    /// Changes the role of the process; relays of gained or lost tiers are replaced, with new ids.
    pub(super) fn change_tier(&mut self, old: Tier, new: Tier, id: u64, now: Instant) {
        let (for_daemons, for_data_centres) = policies(&self.grant);
        if (old == Tier::Daemon) != (new == Tier::Daemon) {
            self.detach(Tier::Daemon, now);
            self.data_centre = ParentLink::new(Relay::new(for_daemons, now), id);
        }
        if (old == Tier::Region) != (new == Tier::Region) {
            self.detach(Tier::DataCentre, now);
            self.region = ParentLink::new(Relay::new(for_data_centres, now), id + 1);
        }
        self.daemon.unanswered_since = None;
        self.data_centre.unanswered_since = None;
    }

    /// Processes a report of a child in another process.
    pub(super) fn handle_report(
        &mut self,
        from: &DaemonName,
        report: &DemandReport,
        cx: &Context<'_>,
        out: &mut Output,
    ) {
        self.last_used = cx.now;
        if report.demand.waiting_calls > 0 || report.parent == 0 {
            self.next_run = Some(cx.now);
        }
        self.handle_child_report(from, report, cx, out);
        self.process_messages(cx, out);
        self.reschedule(cx.now);
    }

    /// Processes a share from a parent in another process.
    pub(super) fn handle_share(&mut self, update: ShareUpdate, cx: &Context<'_>, out: &mut Output) {
        if update.tier != cx.tier {
            return;
        }
        match update.tier {
            Tier::Daemon => self.daemon.unanswered_since = None,
            Tier::DataCentre => self.data_centre.unanswered_since = None,
            Tier::Region => self.region.unanswered_since = None,
        }
        self.messages.push_back(Message::ShareUpdate(update));
        self.process_messages(cx, out);
        self.reschedule(cx.now);
    }

    /// Returns whether the daemon has a valid share.
    pub(super) fn holds_share(&self, now: Instant) -> bool {
        self.daemon.reducer.holds_share(now)
    }

    /// Processes the passage of time: lets waiting calls through, issues credits and sends reports.
    pub(super) fn run(&mut self, cx: &Context<'_>, out: &mut Output) {
        let now = cx.now;
        self.release_calls(now, out);
        let waiting_calls = self.waiting_calls(now);
        let uses_fraction = cx.predecessor_expired && self.has_own_fraction();
        if uses_fraction && self.daemon.lacks_share(self.daemon.reducer.valid(now), now) {
            self.use_own_fraction(cx, out);
        } else if self.daemon.reducer.report_due(waiting_calls, now) {
            let demand = self.daemon.reducer.report(waiting_calls, now);
            let report = self.daemon.demand_report(&self.grant, Tier::Daemon, demand);
            self.send_report(report, cx, out);
        }
        self.process_messages(cx, out);
        for tier in [Tier::DataCentre, Tier::Region] {
            if tier <= cx.tier {
                self.run_relay(tier, cx, out);
                self.process_messages(cx, out);
            }
        }
        self.release_calls(now, out);
        self.next_run = self.next_due(now);
        let rate = self.daemon.reducer.valid(now).rate;
        if rate != self.logged_rate {
            self.logged_rate = rate;
            out.changed.push((self.grant.clone(), rate));
        }
    }

    fn run_relay(&mut self, tier: Tier, cx: &Context<'_>, out: &mut Output) {
        let now = cx.now;
        let uses_fraction = cx.predecessor_expired && self.has_own_fraction();
        let link = self.relay(tier);
        let answers = link.reducer.tick(now);
        let lacks_share = uses_fraction && link.lacks_share(link.reducer.valid(now), now);
        let due = link.reducer.report_due(now);
        self.distribute(tier, answers, cx, out);
        if lacks_share {
            self.use_own_fraction(cx, out);
        } else if due {
            let grant = self.grant.clone();
            let link = self.relay(tier);
            let demand = link.reducer.report(now);
            let report = link.demand_report(&grant, tier, demand);
            self.send_report(report, cx, out);
        }
    }

    const fn relay(&mut self, tier: Tier) -> &mut ParentLink<Relay> {
        match tier {
            Tier::Region => &mut self.region,
            Tier::Daemon | Tier::DataCentre => &mut self.data_centre,
        }
    }

    /// Applies the own fraction to the highest reducer, which still sends reports to the parent.
    fn use_own_fraction(&mut self, cx: &Context<'_>, out: &mut Output) {
        let now = cx.now;
        let quota = cx.topology.fraction(cx.tier, cx.capacity);
        let (grant, waiting_calls) = (self.grant.clone(), self.waiting_calls(now));
        if cx.tier == Tier::Daemon {
            let link = &mut self.daemon;
            if link.parent != OWN_FRACTION {
                link.reducer.detach(now);
                (link.parent, link.own_share_number) = (OWN_FRACTION, 0);
            }
            let demand = link.reducer.report(waiting_calls, now);
            let share = link.own_fraction_share(&demand, quota);
            link.reducer.apply(&share, now);
            let report = link.demand_report(&grant, Tier::Daemon, demand);
            self.send_report(report, cx, out);
            return;
        }
        let link = self.relay(cx.tier);
        if link.parent != OWN_FRACTION {
            link.reducer.detach(now);
            (link.parent, link.own_share_number) = (OWN_FRACTION, 0);
        }
        let demand = link.reducer.report(now);
        let share = link.own_fraction_share(&demand, quota);
        let answers = link.reducer.apply(&share, now);
        let report = link.demand_report(&grant, cx.tier, demand);
        self.send_report(report, cx, out);
        self.distribute(cx.tier, answers, cx, out);
    }

    fn waiting_calls(&self, now: Instant) -> u32 {
        let waiting_calls = self.waiting_calls.iter();
        waiting_calls
            .filter(|call| now + MIN_REMAINING_WAIT <= call.until)
            .count() as u32
    }

    fn release_calls(&mut self, now: Instant, out: &mut Output) {
        self.waiting_calls.retain(|call| now < call.until);
        while let Some(call) = self.waiting_calls.front() {
            if !self.daemon.reducer.retry_take(now) {
                return;
            }
            out.released.push(call.id);
            self.waiting_calls.pop_front();
        }
    }

    /// Rejects the calls that wait when the parent announces that credits are short.
    fn reject_calls(&mut self, now: Instant, out: &mut Output) {
        if self.daemon.reducer.next_credit(now).is_some() {
            let calls = self.waiting_calls.drain(..);
            out.rejected.extend(calls.map(|call| call.id));
        }
    }

    fn next_due(&self, now: Instant) -> Option<Instant> {
        let waits = !self.waiting_calls.is_empty();
        let call = waits.then(|| self.daemon.reducer.next_call(now)).flatten();
        let centre = self.data_centre.reducer.next_tick(now);
        let region = self.region.reducer.next_tick(now);
        let any_waiting = waits || centre.is_some() || region.is_some();
        let report = any_waiting.then(|| now + WAITING_REPORT_INTERVAL);
        let due = [call, report, centre, region].into_iter().flatten().min();
        due.map(|at| at.max(now + MIN_RUN_INTERVAL))
    }

    /// Moves the next run forward if a new share allows calls or credits sooner.
    fn reschedule(&mut self, now: Instant) {
        let next = self.next_due(now);
        self.next_run = [self.next_run, next].into_iter().flatten().min();
    }

    /// Sends a report to the relay in this process, or to the parent process.
    fn send_report(&mut self, report: DemandReport, cx: &Context<'_>, out: &mut Output) {
        if report.tier < cx.tier {
            self.messages.push_back(Message::DemandReport(report));
            return;
        }
        let unanswered_since = match report.tier {
            Tier::Daemon => &mut self.daemon.unanswered_since,
            Tier::DataCentre => &mut self.data_centre.unanswered_since,
            Tier::Region => &mut self.region.unanswered_since,
        };
        unanswered_since.get_or_insert(cx.now);
        out.reports.push(report);
    }

    /// Processes the messages between the reducers of this process.
    fn process_messages(&mut self, cx: &Context<'_>, out: &mut Output) {
        while let Some(message) = self.messages.pop_front() {
            match message {
                Message::DemandReport(report) => self.handle_child_report(cx.me, &report, cx, out),
                Message::ShareUpdate(update) => self.apply_update(&update, cx, out),
            }
        }
    }

    fn handle_child_report(
        &mut self,
        from: &DaemonName,
        report: &DemandReport,
        cx: &Context<'_>,
        out: &mut Output,
    ) {
        let parent_tier = match report.tier {
            Tier::Daemon => Tier::DataCentre,
            Tier::DataCentre => Tier::Region,
            Tier::Region => return,
        };
        // A child of an earlier role of this process switches to another parent.
        if parent_tier > cx.tier {
            return;
        }
        let link = self.relay(parent_tier);
        let mut demand = report.demand;
        if report.parent != link.id {
            demand.applied = 0;
        }
        let child = Child::new(from.as_str(), report.child);
        let answers = link.reducer.child_report(&child, &demand, cx.now);
        self.distribute(parent_tier, answers, cx, out);
    }

    /// Sends the shares that the relay at `tier` issues to its children.
    fn distribute(&mut self, tier: Tier, answers: Vec<Answer>, cx: &Context<'_>, out: &mut Output) {
        let parent = self.relay(tier).id;
        let child_tier = if tier == Tier::Region {
            Tier::DataCentre
        } else {
            Tier::Daemon
        };
        for (child, share) in answers {
            let update = ShareUpdate {
                grant: self.grant.clone(),
                tier: child_tier,
                child: child.incarnation,
                parent,
                share,
            };
            if *child.name == *cx.me.as_str() {
                self.messages.push_back(Message::ShareUpdate(update));
            } else {
                out.updates.push((DaemonName::from(&*child.name), update));
            }
        }
    }

    fn apply_update(&mut self, update: &ShareUpdate, cx: &Context<'_>, out: &mut Output) {
        let now = cx.now;
        if update.tier == Tier::Daemon {
            if self.daemon.id != update.child {
                return;
            }
            if self.daemon.parent != update.parent {
                set_parent(&mut self.daemon.parent, update.parent, || {
                    self.daemon.reducer.detach(now);
                });
            }
            self.daemon.reducer.apply(&update.share, now);
            self.release_calls(now, out);
            self.reject_calls(now, out);
            if !self.waiting_calls.is_empty() {
                self.next_run = Some(now);
            }
            return;
        }
        let link = self.relay(update.tier);
        if link.id != update.child {
            return;
        }
        if link.parent != update.parent {
            set_parent(&mut link.parent, update.parent, || link.reducer.detach(now));
        }
        let answers = link.reducer.apply(&update.share, now);
        self.distribute(update.tier, answers, cx, out);
    }
}
