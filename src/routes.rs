//! Routing table: the configuration joined with the announced endpoints.
//!
//! A `Snapshot` is immutable and replaced atomically by its owner, so a call never sees a mixture
//! of versions. Routes are stored per service behind `Arc`: a change of one service's endpoints
//! rebuilds only that service.

use {
    self::paths::{GrantsByPath, prefixes},
    crate::model::{
        Config, Digest, Endpoint, Grant, PathPrefix, PlanName, Rank, ServerName, ServerState,
        ServiceName,
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

/// Reason why a call has no route; the call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteRefusal {
    /// The plan does not exist or has no grant for the service.
    NoGrant,
    /// No backend server of the service is announced. The grant remains valid.
    NoServerAnnounced,
    /// Backend servers of the service are announced, but none of those that the grant lists.
    NoGrantedServerAnnounced,
    /// All announced backend servers that the grant allows are draining.
    AllDraining,
}

/// Grant of a call and the backend servers that may run it.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// The grant that allows the call.
    pub grant: &'a Grant,
    /// Backend servers that may run the call; never empty.
    pub candidates: &'a Candidates,
    /// Rank of the call: that of the grant, unless the account of the caller has one.
    pub rank: Rank,
}

/// Routes of one service.
#[derive(Debug, Default)]
struct ServiceRoutes {
    /// Announced endpoints, sorted by server name.
    endpoints: Vec<Arc<Endpoint>>,
    /// Candidates of grants that do not list servers.
    unrestricted: Candidates,
    /// Candidates of grants that list servers, by plan and path.
    restricted: HashMap<(PlanName, PathPrefix), Result<Candidates, RouteRefusal>>,
}

impl ServiceRoutes {
    fn new<'a>(
        location: &Location,
        mut endpoints: Vec<Arc<Endpoint>>,
        grants: impl Iterator<Item = &'a Grant>,
    ) -> Self {
        // A server that moved may be in the sets of two data centres. Keep the newest incarnation
        // and, within one incarnation, the draining record, since draining is never undone.
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
                    granted_candidates(location, &endpoints, &grant.servers),
                )
            })
            .collect();
        Self {
            unrestricted: Candidates::new(location, &endpoints),
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

/// Returns the candidates among the listed `servers`; `endpoints` is sorted by server name.
fn granted_candidates(
    location: &Location,
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
    let candidates = Candidates::new(location, &granted);
    if candidates.is_empty() {
        return Err(RouteRefusal::AllDraining);
    }
    Ok(candidates)
}

/// Borrowed form of `GrantKey`, for lookups without allocation.
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

/// Immutable join of one configuration version with the announced endpoints.
#[derive(Clone)]
pub struct Snapshot {
    config: Arc<Config>,
    location: Arc<Location>,
    plans_by_key_hash: Arc<HashMap<Digest, PlanName>>,
    /// Indexes of the grants of each service in `config.grants`.
    grants_by_service: Arc<HashMap<ServiceName, Vec<usize>>>,
    /// Indexes of the grants of each plan and path in `config.grants`.
    grants_by_path: Arc<GrantsByPath>,
    services: IndexMap<ServiceName, Arc<ServiceRoutes>>,
}

impl Snapshot {
    /// Builds a snapshot for the daemon at `location`.
    ///
    /// ```
    /// use anvilbeam::{
    ///     model::{Config, DataCentre, PlanName, Region, ServiceName},
    ///     routes::{Location, RouteRefusal, Snapshot},
    /// };
    /// let location = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
    /// let snapshot = Snapshot::build(Config::default().into(), [].iter(), location);
    /// let refusal = snapshot.route(&PlanName::from("p"), &ServiceName::from("s")).unwrap_err();
    /// assert_eq!(refusal, RouteRefusal::NoGrant);
    /// ```
    pub fn build<'a>(
        config: Arc<Config>,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        location: Location,
    ) -> Self {
        let mut by_service: IndexMap<ServiceName, Vec<Arc<Endpoint>>> = IndexMap::new();
        for endpoint in endpoints {
            let list = by_service.entry(endpoint.service.clone()).or_default();
            list.push(Arc::new(endpoint.clone()));
        }
        Self::from_parts(config, by_service, Arc::new(location))
    }

    /// Returns a snapshot of the same endpoints with another configuration, without copying them.
    #[must_use]
    pub fn with_config(&self, config: Arc<Config>) -> Self {
        let by_service = self.services.iter();
        let by_service = by_service.map(|(name, routes)| (name.clone(), routes.endpoints.clone()));
        Self::from_parts(config, by_service.collect(), Arc::clone(&self.location))
    }

    /// Returns a snapshot with the endpoints of `service` replaced; `endpoints` of other services
    /// are ignored. The routes of all other services are shared with this snapshot.
    #[must_use]
    pub fn with_service<'a>(
        &self,
        service: &ServiceName,
        endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> Self {
        let matching = endpoints.filter(|endpoint| endpoint.service == *service);
        let matching: Vec<_> = matching.cloned().map(Arc::new).collect();
        let mut next = self.clone();
        if matching.is_empty() {
            next.services.swap_remove(service);
            return next;
        }
        let grants = grants_of_service(&self.config, &self.grants_by_service, service);
        let routes = ServiceRoutes::new(&self.location, matching, grants);
        next.services.insert(service.clone(), Arc::new(routes));
        next
    }

    fn from_parts(
        config: Arc<Config>,
        by_service: IndexMap<ServiceName, Vec<Arc<Endpoint>>>,
        location: Arc<Location>,
    ) -> Self {
        let mut grants_by_service: HashMap<ServiceName, Vec<usize>> = HashMap::new();
        let mut grants_by_path = GrantsByPath::new();
        for (index, grant) in config.grants.values().enumerate() {
            let by_path = grants_by_path.entry(grant.plan.clone()).or_default();
            let indexes = by_path.entry(grant.path.clone()).or_default();
            indexes.push(index);
            match grants_by_service.get_mut(&grant.service) {
                Some(list) => list.push(index),
                None => {
                    grants_by_service.insert(grant.service.clone(), vec![index]);
                }
            }
        }
        let services = by_service
            .into_iter()
            .map(|(name, endpoints)| {
                let grants = grants_of_service(&config, &grants_by_service, &name);
                let routes = ServiceRoutes::new(&location, endpoints, grants);
                (name, Arc::new(routes))
            })
            .collect();
        let plans_by_key_hash = config.plans.values().flat_map(|plan| {
            let hashes = plan.key_hashes.iter();
            hashes.map(|hash| (*hash, plan.name.clone()))
        });
        Self {
            plans_by_key_hash: Arc::new(plans_by_key_hash.collect()),
            grants_by_service: Arc::new(grants_by_service),
            grants_by_path: Arc::new(grants_by_path),
            services,
            location,
            config,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns true if any grant is for the service.
    pub fn has_grant_for(&self, service: &ServiceName) -> bool {
        self.grants_by_service.contains_key(service)
    }

    /// Returns the plan to which the API key `key` belongs; `None` if the key is unknown.
    ///
    /// ```
    /// use anvilbeam::{
    ///     model::{Config, DataCentre, Digest, Plan, PlanName, Region},
    ///     routes::{Location, Snapshot},
    /// };
    /// let location = Location { data_centre: DataCentre::from("a1"), region: Region::from("a") };
    /// let name = PlanName::from("p");
    /// let key_hashes = vec![Digest::of(b"secret")];
    /// let home_region = Region::from("a");
    /// let plan = Plan { name: name.clone(), key_hashes, home_region };
    /// let mut config = Config::default();
    /// config.plans.insert(name.clone(), plan);
    /// let snapshot = Snapshot::build(config.into(), [].iter(), location);
    /// assert_eq!(snapshot.authenticate("secret"), Some(&name));
    /// ```
    pub fn authenticate(&self, key: &str) -> Option<&PlanName> {
        self.plans_by_key_hash.get(&Digest::of(key.as_bytes()))
    }

    /// Returns the route of a call by `plan` to the path `/` of `service`.
    ///
    /// # Errors
    /// The reason why the call has no route; it has not run.
    pub fn route(&self, plan: &PlanName, service: &ServiceName) -> Result<Route<'_>, RouteRefusal> {
        self.route_for_path(plan, service, "/")
    }

    /// Returns the route of a call by `plan` to `path` of `service`. The grant with the longest
    /// matching path prefix applies.
    ///
    /// # Errors
    /// The reason why the call has no route.
    pub fn route_for_path(
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
        self.route_for_grant(granted.ok_or(RouteRefusal::NoGrant)?)
    }

    /// Returns the plan's grants with the longest prefix of `path`; empty if no prefix matches.
    pub fn grants_for_path(&self, plan: &str, path: &str) -> Vec<&Grant> {
        let Some(by_path) = self.grants_by_path.get(plan) else {
            return Vec::new();
        };
        let indexes = prefixes(path).find_map(|prefix| by_path.get(prefix));
        let indexes = indexes.into_iter().flatten();
        indexes
            .filter_map(|index| self.config.grants.get_index(*index))
            .map(|(_, grant)| grant)
            .collect()
    }

    /// Returns the route of a call under `grant`, which must belong to this configuration.
    ///
    /// # Errors
    /// The reason why the call has no route.
    pub fn route_for_grant<'a>(&'a self, grant: &'a Grant) -> Result<Route<'a>, RouteRefusal> {
        if !self.config.plans.contains_key(&grant.plan) {
            return Err(RouteRefusal::NoGrant);
        }
        let routes = self.services.get(&grant.service);
        let routes = routes.ok_or(RouteRefusal::NoServerAnnounced)?;
        let candidates = routes.candidates(grant)?;
        let rank = grant.rank;
        Ok(Route {
            grant,
            candidates,
            rank,
        })
    }

    /// Returns the size of this snapshot in bytes, estimated from its parts. The configuration and
    /// the names are shared and not counted.
    pub fn memory_estimate(&self) -> usize {
        let service_size = |routes: &Arc<ServiceRoutes>| {
            let restricted = routes.restricted.values();
            let listed = restricted.flatten().chain([&routes.unrestricted]);
            let listed: usize = listed.map(|candidates| candidates.all().len()).sum();
            let endpoints = routes.endpoints.len();
            size_of::<ServiceRoutes>()
                + endpoints * size_of::<Endpoint>()
                + (endpoints + listed) * size_of::<Arc<Endpoint>>()
                + routes.restricted.capacity() * size_of::<(PlanName, PathPrefix, Candidates)>()
        };
        self.services.values().map(service_size).sum::<usize>()
            + self.services.capacity() * size_of::<(ServiceName, Arc<ServiceRoutes>)>()
            + self.plans_by_key_hash.capacity() * size_of::<(Digest, PlanName)>()
            + self.config.grants.len() * size_of::<usize>()
    }

    /// Returns each service with its endpoints, including draining ones, sorted by server name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Arc<Endpoint>])> {
        let services = self.services.iter();
        services.map(|(name, routes)| (name, routes.endpoints.as_slice()))
    }

    /// Returns the endpoints of `service`, including draining ones, sorted by server name.
    pub fn endpoints(&self, service: &ServiceName) -> &[Arc<Endpoint>] {
        let routes = self.services.get(service);
        routes.map_or(&[], |routes| &routes.endpoints)
    }
}

/// Returns the grants of `service`, looked up in `Snapshot::grants_by_service`.
fn grants_of_service<'a>(
    config: &'a Config,
    grants_by_service: &'a HashMap<ServiceName, Vec<usize>>,
    service: &ServiceName,
) -> impl Iterator<Item = &'a Grant> {
    let indexes = grants_by_service.get(service).into_iter().flatten();
    indexes.filter_map(|index| config.grants.get_index(*index).map(|(_, grant)| grant))
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
