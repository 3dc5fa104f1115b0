//! Settings of rollouts, shared by control replicas and daemons.

use {
    super::{HumanReadable, InvalidSetting},
    serde::Deserialize,
    serde_with::serde_as,
    std::time::Duration,
};

/// Limits of rollouts. Without them, a process neither accepts rollouts nor tells versions apart.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutLimits {
    /// Share of a service's calls that may use a new version before it is judged.
    pub exposure_share: Share,
    /// Number of calls that may use it in addition.
    #[serde(default = "default_slack")]
    pub exposure_slack: u32,
    /// Time after the 50th bad answer of a new version by which no call uses it any more.
    #[serde_as(as = "HumanReadable")]
    #[serde(default = "default_rollback")]
    pub rollback: Duration,
}

const fn default_slack() -> u32 {
    50
}

const fn default_rollback() -> Duration {
    Duration::from_secs(5)
}

/// A share from 0 to 1, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "f64")]
pub struct Share(u32);

impl TryFrom<f64> for Share {
    type Error = String;

    fn try_from(share: f64) -> Result<Self, String> {
        if (0.0..=1.0).contains(&share) {
            return Ok(Self((share * 1e6) as u32));
        }
        Err(format!("{share} is not a share from 0 to 1"))
    }
}

impl Share {
    /// Returns the share as a number from 0 to 1.
    pub fn get(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

impl RolloutLimits {
    /// Shortest time in which a lease can be renewed twice.
    const MIN_ROLLBACK: Duration = Duration::from_secs(2);

    /// Checks that the limits can be kept.
    ///
    /// # Errors
    /// The invalid setting.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        if self.rollback >= Self::MIN_ROLLBACK {
            return Ok(());
        }
        let reason = format!(
            "rollback is shorter than {} s",
            Self::MIN_ROLLBACK.as_secs()
        );
        Err(InvalidSetting::new("rollouts", reason))
    }
}
