//! Whole credits for children whose share is too small for a bucket.

use {
    super::{Answer, Shares},
    crate::limits::{Child, Share},
    std::time::Instant,
};

impl Shares {
    /// Lends credits in the order in which children asked, one at a time.
    pub(super) fn lend(&mut self, now: Instant, answers: &mut Vec<Answer>) {
        while let Some(child) = self.next_asking() {
            let from_parent = self.lent.0 > 0 && self.lent.1.is_some_and(|until| now < until);
            if !from_parent && !self.pool.try_take(now) {
                break;
            }
            let (answer_to, share) = self.answer(&child, 1, now);
            if from_parent {
                self.lent.0 -= 1;
            }
            merge(answers, answer_to, share);
            self.wants -= 1;
            let wants = self.children.get_mut(&child).map_or(0, |record| {
                record.wants -= 1;
                record.wants
            });
            self.asking.pop_front();
            if wants > 0 {
                self.asking.push_back(child);
            }
        }
        // What nobody asked for would only be saved up.
        if self.asking.is_empty() {
            self.lent = (0, None);
        }
    }

    fn next_asking(&mut self) -> Option<Child> {
        while let Some(child) = self.asking.front() {
            if self.children.get(child).is_some_and(|r| r.wants > 0) {
                return Some(child.clone());
            }
            self.asking.pop_front();
        }
        None
    }
}

/// Adds a share to the answers; one for the same child is replaced and its credits kept.
fn merge(answers: &mut Vec<Answer>, child: Child, mut share: Share) {
    if let Some((_, old)) = answers.iter_mut().find(|(known, _)| *known == child) {
        share.credits += old.credits;
        *old = share;
    } else {
        answers.push((child, share));
    }
}
