//! Both sides of a relay: a child of its parent and the parent of its children.

use {
    super::{
        Amount, Child, Demand, Level, RELAY_HOLD, REPORT_INTERVAL, Share, Shares, Supply,
        holder::{Lease, MIN_REPORT_GAP, is_step},
        shares::Answer,
    },
    std::time::{Duration, Instant},
};

/// A relay's part of one grant.
///
/// It confirms a share to its parent only once its own children hold no more than that share;
/// until then the parent counts the earlier one.
#[derive(Debug)]
pub struct Relay {
    lease: Lease,
    shares: Shares,
    /// Newest share that the children keep to.
    confirmed: u64,
    told: Demand,
    started: Instant,
}

impl Relay {
    /// A relay that holds nothing yet.
    pub fn new(level: Level, now: Instant) -> Self {
        let none = Supply {
            until: Some(now),
            guaranteed_until: Some(now),
            ..Supply::default()
        };
        Self {
            lease: Lease::default(),
            shares: Shares::new(level, none, now),
            confirmed: 0,
            told: Demand {
                seq: 0,
                applied: 0,
                rate: 0,
                wants: 0,
                settled: false,
            },
            started: now,
        }
    }

    /// A child reports.
    pub fn child_report(&mut self, child: &Child, demand: &Demand, now: Instant) -> Vec<Answer> {
        let answers = self.shares.report(child, demand, now);
        self.confirm();
        answers
    }

    /// Takes over a share of the parent. The answers carry credits to the children.
    pub fn apply(&mut self, share: &Share, now: Instant) -> Vec<Answer> {
        let Some(sent) = self.lease.apply(share) else {
            return Vec::new();
        };
        self.told.wants = self.told.wants.saturating_sub(share.credits);
        self.shares.set_supply(self.lease.supply(), now);
        self.confirm();
        let until = sent + Duration::from_millis(share.credit_ms);
        self.shares.add_credits(share.credits, until, now)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Answer> {
        let answers = self.shares.tick(now);
        self.confirm();
        answers
    }

    /// When [`Relay::tick`] is due for a child that waits for a credit.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        self.shares.next_tick(now)
    }

    /// What is valid at `now`, without credits.
    pub fn valid(&self, now: Instant) -> Amount {
        self.lease.supply().at(now)
    }

    /// Whether a report to the parent is due.
    pub fn report_due(&self, now: Instant) -> bool {
        let rate = self.shares.demand();
        let wants = self.shares.wants();
        let Some(sent) = self.lease.sent_at() else {
            return rate > 0 || wants > 0;
        };
        let age = now.saturating_duration_since(sent);
        if age < MIN_REPORT_GAP {
            return false;
        }
        let idle = rate == 0 && wants == 0 && self.told.rate == 0 && self.told.wants == 0;
        let changed =
            is_step(rate, self.told.rate) || is_step(u64::from(wants), u64::from(self.told.wants));
        changed
            || self.lease.has_to_confirm(self.confirmed)
            || (age >= REPORT_INTERVAL && (!idle || self.lease.is_confirming()))
    }

    /// The report to send to the parent at `now`.
    pub fn report(&mut self, now: Instant) -> Demand {
        self.told = Demand {
            seq: self.lease.open_report(self.confirmed, now),
            applied: self.confirmed,
            rate: self.shares.demand(),
            wants: self.shares.wants(),
            settled: now.saturating_duration_since(self.started) >= RELAY_HOLD,
        };
        self.told
    }

    /// The parent was replaced. The share ends, the guaranteed part stays.
    pub fn detach(&mut self, now: Instant) {
        self.lease.detach(now);
        self.shares.set_supply(self.lease.supply(), now);
        self.confirmed = 0;
    }

    fn confirm(&mut self) {
        if self.shares.fits(&self.lease.supply()) {
            self.confirmed = self.lease.number();
        }
    }
}
