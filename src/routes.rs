//! `Snapshot`: the configuration and the announced endpoints joined into routes.
//!
//! A snapshot is built whole and swapped whole by its owner, so a call never sees half of a
//! version. Routes are held by service behind `Arc`: a change of one service's endpoints rebuilds
//! only that service.

use {
    self::paths::{Paths, prefixes},
    crate::model::{
        Config, Digest, Endpoint, Grant, PathPrefix, PlanName, ServerName, ServerState, ServiceName,
    },
    indexmap::{Equivalent, IndexMap},
    std::{collections::HashMap, fmt, sync::Arc},
    strum::Display,
};

mod candidates;
mod paths;
#[cfg(test)]
mod tests;

pub use candidates::{Candidates, Distance, Location};

/// Why a call has no route. No refusal of this kind has run the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteRefusal {
    /// The plan may not use the service, or the plan does not exist.
    NoGrant,
    /// No backend server of the service is announced. The route is kept.
    NoServerAnnounced,
    /// Backend servers of the service are announced, but none that the grant names.
    NoGrantedServerAnnounced,
    /// All granted backend servers that are announced are draining.
    AllDraining,
}

/// Where a call may go.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// The grant that allows the call.
    pub grant: &'a Grant,
    /// Backend servers that may run it; never empty.
    pub candidates: &'a Candidates,
}

/// Routes of one service.
#[derive(Debug, Default)]
struct ServiceRoutes {
    /// Announced endpoints, sorted by server name.
    endpoints: Vec<Arc<Endpoint>>,
    /// Candidates of grants that name no servers.
    unrestricted: Candidates,
    /// Candidates of grants that name servers, by plan.
    restricted: HashMap<(PlanName, PathPrefix), Result<Candidates, RouteRefusal>>,
}

impl ServiceRoutes {
    fn new<'a>(
        here: &Location,
        mut endpoints: Vec<Arc<Endpoint>>,
        grants: impl Iterator<Item = &'a Grant>,
    ) -> Self {
        // A server that moved may be in the sets of two data centres: the newer start is kept,
        // and of one start the draining record, since draining is never taken back.
        endpoints.sort_by(|a, b| {
            let newest_first = b.incarnation.cmp(&a.incarnation);
            let serving = |endpoint: &Endpoint| endpoint.state == ServerState::Serving;
            let draining_first = serving(a).cmp(&serving(b));
            let order = a.server.cmp(&b.server).then(newest_first);
            order.then(draining_first)
        });
        endpoints.dedup_by(|later, kept| later.server == kept.server);
        let restricted = grants
            .filter(|grant| !grant.servers.is_empty())
            .map(|grant| {
                (
                    (grant.plan.clone(), grant.path.clone()),
                    restrict(here, &endpoints, &grant.servers),
                )
            })
            .collect();
        Self {
            unrestricted: Candidates::new(here, &endpoints),
            endpoints,
            restricted,
        }
    }

    fn candidates(&self, grant: &Grant) -> Result<&Candidates, RouteRefusal> {
        if self.endpoints.is_empty() {
            return Err(RouteRefusal::NoServerAnnounced);
        }
        if !grant.servers.is_empty() {
            let key = (grant.plan.clone(), grant.path.clone());
            return match self.restricted.get(&key) {
                Some(Ok(candidates)) => Ok(candidates),
                Some(Err(refusal)) => Err(*refusal),
                None => Err(RouteRefusal::NoGrant),
            };
        }
        if self.unrestricted.is_empty() {
            return Err(RouteRefusal::AllDraining);
        }
        Ok(&self.unrestricted)
    }
}

/// Candidates among the servers that a grant names; `endpoints` is sorted by server name.
fn restrict(
    here: &Location,
    endpoints: &[Arc<Endpoint>],
    servers: &[ServerName],
) -> Result<Candidates, RouteRefusal> {
    let mut granted: Vec<_> = servers
        .iter()
        .filter_map(|server| {
            let found = endpoints.binary_search_by(|endpoint| endpoint.server.cmp(server));
            found.ok().map(|index| Arc::clone(&endpoints[index]))
        })
        .collect();
    if granted.is_empty() {
        return Err(RouteRefusal::NoGrantedServerAnnounced);
    }
    granted.sort_by(|a, b| a.server.cmp(&b.server));
    granted.dedup_by(|later, kept| later.server == kept.server);
    let candidates = Candidates::new(here, &granted);
    if candidates.is_empty() {
        return Err(RouteRefusal::AllDraining);
    }
    Ok(candidates)
}

/// Borrowed form of `GrantKey`, so that a lookup allocates nothing.
#[derive(Hash)]
struct GrantRef<'a> {
    plan: &'a str,
    service: &'a str,
    path: &'a str,
}

impl Equivalent<crate::model::GrantKey> for GrantRef<'_> {
    fn equivalent(&self, key: &crate::model::GrantKey) -> bool {
        self.plan == key.plan.as_str()
            && self.service == key.service.as_str()
            && self.path == key.path.as_str()
    }
}

/// One configuration version joined with the announced endpoints.
#[derive(Clone)]
pub struct Snapshot {
    config: Arc<Config>,
    here: Arc<Location>,
    callers: Arc<HashMap<Digest, PlanName>>,
    /// Indexes of the grants of each service in `config.grants`.
    grants: Arc<HashMap<ServiceName, Vec<usize>>>,
    /// Places of the grants in the configuration, by plan and path.
    paths: Arc<Paths>,
    services: IndexMap<ServiceName, Arc<ServiceRoutes>>,
}

impl Snapshot {
    /// Joins `config` with `endpoints` as seen from `here`.
    ///
    /// ```
    /// use anvilbeam::{
    ///     model::{Config, DataCentre, PlanName, Region, ServiceName},
    ///     routes::{Location, RouteRefusal, Snapshot},
    /// };
    /// let here = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
    /// let snapshot = Snapshot::build(Config::default().into(), [].iter(), here);
    /// let refusal = snapshot.route(&PlanName::from("p"), &ServiceName::from("s")).unwrap_err();
    /// assert_eq!(refusal, RouteRefusal::NoGrant);
    /// ```
    pub fn build<'a>(
        config: Arc<Config>,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        here: Location,
    ) -> Self {
        let mut by_service: IndexMap<ServiceName, Vec<Arc<Endpoint>>> = IndexMap::new();
        for endpoint in endpoints {
            let list = by_service.entry(endpoint.service.clone()).or_default();
            list.push(Arc::new(endpoint.clone()));
        }
        Self::join(config, by_service, Arc::new(here))
    }

    /// The same endpoints joined with another configuration. Endpoints are shared, not copied.
    #[must_use]
    pub fn with_config(&self, config: Arc<Config>) -> Self {
        let by_service = self.services.iter();
        let by_service = by_service.map(|(name, routes)| (name.clone(), routes.endpoints.clone()));
        Self::join(config, by_service.collect(), Arc::clone(&self.here))
    }

    /// The same configuration with other endpoints for `service`; endpoints of other services
    /// are ignored. All other services are shared with this snapshot.
    #[must_use]
    pub fn with_service<'a>(
        &self,
        service: &ServiceName,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> Self {
        let own = endpoints.filter(|endpoint| endpoint.service == *service);
        let own: Vec<_> = own.cloned().map(Arc::new).collect();
        let mut next = self.clone();
        if own.is_empty() {
            next.services.swap_remove(service);
            return next;
        }
        let grants = grants_of(&self.config, &self.grants, service);
        let routes = ServiceRoutes::new(&self.here, own, grants);
        next.services.insert(service.clone(), Arc::new(routes));
        next
    }

    fn join(
        config: Arc<Config>,
        by_service: IndexMap<ServiceName, Vec<Arc<Endpoint>>>,
        here: Arc<Location>,
    ) -> Self {
        let mut grants: HashMap<ServiceName, Vec<usize>> = HashMap::new();
        let mut paths = Paths::new();
        for (index, grant) in config.grants.values().enumerate() {
            let of_plan = paths.entry(grant.plan.clone()).or_default();
            let of_path = of_plan.entry(grant.path.clone()).or_default();
            of_path.push(index);
            match grants.get_mut(&grant.service) {
                Some(list) => list.push(index),
                None => {
                    grants.insert(grant.service.clone(), vec![index]);
                }
            }
        }
        let services = by_service
            .into_iter()
            .map(|(name, endpoints)| {
                let own = grants_of(&config, &grants, &name);
                let routes = ServiceRoutes::new(&here, endpoints, own);
                (name, Arc::new(routes))
            })
            .collect();
        let callers = config.plans.values().flat_map(|plan| {
            let hashes = plan.key_hashes.iter();
            hashes.map(|hash| (*hash, plan.name.clone()))
        });
        Self {
            callers: Arc::new(callers.collect()),
            grants: Arc::new(grants),
            paths: Arc::new(paths),
            services,
            here,
            config,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Whether a grant names the service.
    pub fn grants_service(&self, service: &ServiceName) -> bool {
        self.grants.contains_key(service)
    }

    /// The plan that `key` proves, if any.
    ///
    /// ```
    /// use anvilbeam::{
    ///     model::{Config, DataCentre, Digest, Plan, PlanName, Region},
    ///     routes::{Location, Snapshot},
    /// };
    /// let here = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
    /// let name = PlanName::from("p");
    /// let key_hashes = vec![Digest::of(b"secret")];
    /// let home_region = Region::from("a");
    /// let plan = Plan { name: name.clone(), key_hashes, home_region };
    /// let mut config = Config::default();
    /// config.plans.insert(name.clone(), plan);
    /// let snapshot = Snapshot::build(config.into(), [].iter(), here);
    /// assert_eq!(snapshot.authenticate("secret"), Some(&name));
    /// ```
    pub fn authenticate(&self, key: &str) -> Option<&PlanName> {
        self.callers.get(&Digest::of(key.as_bytes()))
    }

    /// The route of a call by `plan` to `service`.
    ///
    /// # Errors
    /// The reason why the call has no route; it has not run.
    pub fn route(&self, plan: &PlanName, service: &ServiceName) -> Result<Route<'_>, RouteRefusal> {
        self.route_to(plan, service, "/")
    }

    /// The route of a plan to a service for one path: the longest prefix that is granted.
    ///
    /// # Errors
    /// Why there is no route.
    pub fn route_to(
        &self,
        plan: &PlanName,
        service: &ServiceName,
        path: &str,
    ) -> Result<Route<'_>, RouteRefusal> {
        let granted = prefixes(path).find_map(|path| {
            let key = GrantRef {
                plan: plan.as_str(),
                service: service.as_str(),
                path,
            };
            self.config.grants.get(&key)
        });
        self.route_of(granted.ok_or(RouteRefusal::NoGrant)?)
    }

    /// The grants of a plan with the longest prefix of `path`; empty when nothing is granted.
    pub fn grants_at(&self, plan: &str, path: &str) -> Vec<&Grant> {
        let Some(of_plan) = self.paths.get(plan) else {
            return Vec::new();
        };
        let found = prefixes(path).find_map(|prefix| of_plan.get(prefix));
        let found = found.into_iter().flatten();
        found
            .filter_map(|at| self.config.grants.get_index(*at))
            .map(|(_, grant)| grant)
            .collect()
    }

    /// The route of one grant of this configuration.
    ///
    /// # Errors
    /// Why there is no route.
    pub fn route_of<'a>(&'a self, grant: &'a Grant) -> Result<Route<'a>, RouteRefusal> {
        if !self.config.plans.contains_key(&grant.plan) {
            return Err(RouteRefusal::NoGrant);
        }
        let routes = self.services.get(&grant.service);
        let routes = routes.ok_or(RouteRefusal::NoServerAnnounced)?;
        let candidates = routes.candidates(grant)?;
        Ok(Route { grant, candidates })
    }

    /// Bytes of memory that this snapshot holds beside the configuration, estimated from the sizes
    /// of its parts; names are shared and not counted.
    pub fn memory_estimate(&self) -> usize {
        let service = |routes: &Arc<ServiceRoutes>| {
            let restricted = routes.restricted.values();
            let listed = restricted.flatten().chain([&routes.unrestricted]);
            let listed: usize = listed.map(|candidates| candidates.all().len()).sum();
            let endpoints = routes.endpoints.len();
            size_of::<ServiceRoutes>()
                + endpoints * size_of::<Endpoint>()
                + (endpoints + listed) * size_of::<Arc<Endpoint>>()
                + routes.restricted.capacity() * size_of::<(PlanName, PathPrefix, Candidates)>()
        };
        self.services.values().map(service).sum::<usize>()
            + self.services.capacity() * size_of::<(ServiceName, Arc<ServiceRoutes>)>()
            + self.callers.capacity() * size_of::<(Digest, PlanName)>()
            + self.config.grants.len() * size_of::<usize>()
    }

    /// Each announced service with its endpoints, sorted by server name; also draining ones.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Arc<Endpoint>])> {
        let services = self.services.iter();
        services.map(|(name, routes)| (name, routes.endpoints.as_slice()))
    }

    /// Endpoints of `service`, sorted by server name; also draining ones.
    pub fn endpoints(&self, service: &ServiceName) -> &[Arc<Endpoint>] {
        let routes = self.services.get(service);
        routes.map_or(&[], |routes| &routes.endpoints)
    }
}

/// Grants of `service`, by the index that `Snapshot` keeps.
fn grants_of<'a>(
    config: &'a Config,
    index: &'a HashMap<ServiceName, Vec<usize>>,
    service: &ServiceName,
) -> impl Iterator<Item = &'a Grant> {
    let own = index.get(service).into_iter().flatten();
    own.filter_map(|at| config.grants.get_index(*at).map(|(_, grant)| grant))
}

impl fmt::Debug for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Snapshot")
            .field("version", &self.config.version)
            .field("plans", &self.config.plans.len())
            .field("grants", &self.config.grants.len())
            .field("services", &self.services.len())
            .finish_non_exhaustive()
    }
}
