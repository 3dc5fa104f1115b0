//! Conversions of admission and routing results into effects and refusals of the daemon.

use {
    super::event::Effect,
    crate::{
        admission,
        model::ServiceName,
        refusal::{Reason, Refusal},
        routes::RouteRefusal,
    },
};

pub(super) fn slot_effects(effects: Vec<admission::Effect>) -> Vec<Effect> {
    effects.into_iter().map(slot_effect).collect()
}

fn slot_effect(effect: admission::Effect) -> Effect {
    match effect {
        admission::Effect::Start(id) => Effect::Start { id },
        admission::Effect::Refuse {
            id,
            reason,
            retry_after,
        } => {
            let kind = match reason {
                admission::Reason::QueueFull
                | admission::Reason::Displaced
                | admission::Reason::TooLate => Reason::Overload,
                admission::Reason::Expired => Reason::Deadline,
                admission::Reason::Draining => Reason::Draining,
            };
            let mut refusal = Refusal::not_run(kind, format!("no slot: {reason}"));
            refusal.retry_at = retry_after;
            Effect::Refuse { id, refusal }
        }
    }
}

pub(super) fn no_server_refusal(service: &ServiceName) -> Refusal {
    let detail = format!("no backend server of {service} is announced");
    Refusal::not_run(Reason::NoServer, detail)
}

pub(super) fn unknown_key_refusal() -> Refusal {
    Refusal::not_run(
        Reason::UnknownKey,
        "the key of this request belongs to no account",
    )
}

pub(super) fn route_refusal(e: RouteRefusal, plan: &str, service: &ServiceName) -> Refusal {
    match e {
        RouteRefusal::NoGrant => Refusal::not_run(
            Reason::NoGrant,
            format!("plan {plan} has no grant for service {service}"),
        ),
        RouteRefusal::NoServerAnnounced => no_server_refusal(service),
        RouteRefusal::NoGrantedServerAnnounced => Refusal::not_run(
            Reason::NoServer,
            format!("no backend server of {service} that plan {plan} may use is announced"),
        ),
        RouteRefusal::AllDraining => Refusal::not_run(
            Reason::NoServer,
            format!("all backend servers of {service} that plan {plan} may use are draining"),
        ),
    }
}
