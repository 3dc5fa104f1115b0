//! Loads the sample settings and lists with the code of the programs.

use {
    anvilbeam::{
        lists::{AnnouncedServers, Lists, parse_lists, warnings},
        model::{Digest, Rank},
        settings::{Control, Daemon, Group},
    },
    std::{collections::BTreeSet, fs, path::PathBuf},
};

/// Name, regions and services of each sample deployment.
const DEPLOYMENTS: [(&str, [&str; 3], [&str; 3]); 2] = [
    (
        "bureau",
        ["fukuoka", "kumamoto", "kagoshima"],
        ["roll-consultation", "issuance", "records"],
    ),
    (
        "bondline",
        ["lothian", "strathclyde", "grampian"],
        ["glue-advice", "ordering", "photos-samples"],
    ),
];

fn folder(deployment: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "samples", deployment]
        .iter()
        .collect()
}

fn lists(deployment: &str) -> Lists {
    let read = |name: &str| fs::read_to_string(folder(deployment).join(name)).unwrap();
    parse_lists(&read("plans.yaml"), &read("grants.yaml")).unwrap()
}

/// Guards against sample settings that the programs refuse, and against settings of one deployment
/// that list different replicas.
#[test]
fn settings_load_and_agree() {
    for (deployment, regions, services) in DEPLOYMENTS {
        let path = |name: String| folder(deployment).join(name);
        let controls =
            regions.map(|region| Control::load(&path(format!("control-{region}.yaml"))).unwrap());
        let claims =
            regions.map(|region| Control::load(&path(format!("claims-{region}.yaml"))).unwrap());
        for (control, region) in controls.iter().zip(regions) {
            assert_eq!(control.group, Group::Config);
            assert_eq!(control.region.as_str(), region);
            assert_eq!(control.bootstrap, controls[0].bootstrap);
            let own = control.bootstrap.iter().find(|r| r.name == control.name);
            assert_eq!(own.unwrap().address, control.peer_address);
            let token = format!("sample-operator-token-of-{deployment}");
            assert!(control.operator(&token).is_some());
        }
        for (claims, region) in claims.iter().zip(regions) {
            assert_eq!(claims.group, Group::Claims);
            assert_eq!(claims.region.as_str(), region);
            assert_eq!(claims.bootstrap[0].address, claims.peer_address);
        }
        for service in services {
            let daemon = Daemon::load(&path(format!("daemon-{service}.yaml"))).unwrap();
            let replicas = controls[0].bootstrap.iter().map(|r| r.address);
            assert!(replicas.eq(daemon.control.iter().copied()), "{service}");
            assert_eq!(daemon.claims.len(), claims.len());
            for group in &claims {
                let replicas = group.bootstrap.iter().map(|r| r.address);
                assert!(
                    replicas.eq(daemon.claims[&group.region].iter().copied()),
                    "{service}"
                );
            }
            assert_eq!(daemon.token(), controls[0].token());
        }
    }
}

/// Guards against two sample processes on one VM that bind the same address.
#[test]
fn listening_addresses_are_unique() {
    for (deployment, regions, services) in DEPLOYMENTS {
        let path = |name: String| folder(deployment).join(name);
        let mut addresses = Vec::new();
        for region in regions {
            for kind in ["control", "claims"] {
                let cfg = Control::load(&path(format!("{kind}-{region}.yaml"))).unwrap();
                addresses.push(cfg.peer_address);
                addresses.extend(cfg.operator_address);
            }
        }
        for service in services {
            let cfg = Daemon::load(&path(format!("daemon-{service}.yaml"))).unwrap();
            addresses.extend([cfg.peer_address, cfg.caller_address]);
        }
        let unique: BTreeSet<_> = addresses.iter().collect();
        assert_eq!(unique.len(), addresses.len(), "{addresses:?}");
    }
}

/// Guards against sample lists that name backend servers the deployment lacks or a home region
/// without a claims group, that use keys other than those in the README, or that leave out a rank.
#[test]
fn lists_are_valid_and_complete() {
    for (deployment, regions, services) in DEPLOYMENTS {
        let lists = lists(deployment);
        let servers = |service: &str| {
            let names = (1..=6).map(|n| format!("{service}-{n}").as_str().into());
            (service.into(), names.collect())
        };
        let announced = AnnouncedServers::from(services.map(servers));
        assert_eq!(warnings(&lists, &announced), []);
        for (name, plan) in &lists.plans {
            assert!(regions.contains(&plan.home_region.as_str()), "{name}");
            let key = format!("sample-key-of-{name}");
            assert_eq!(plan.key_hashes, [Digest::of(key.as_bytes())], "{name}");
        }
        let ranks: BTreeSet<_> = lists.grants.values().map(|grant| grant.rank).collect();
        let all = [Rank::Urgent, Rank::High, Rank::Normal, Rank::Low];
        assert!(ranks.iter().eq(&all), "{ranks:?}");
    }
}
