//! Mesh of one control replica and many daemons, whose connections pass through counting proxies.

use {
    super::{
        node::Node,
        proxy::{Bytes, CountingProxy},
    },
    anvilbeam::{
        announce::{ANNOUNCE_PATH, Announcement},
        body::{self, BoxError},
        control::{self, Control},
        daemon::{self, Daemon},
        http_client,
        model::{Digest, ServerState, Version},
        operator_api::{EDITS, EditRequest, EditResponse},
        settings,
    },
    http::{Request, header},
    std::{
        net::SocketAddr,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        runtime::Handle,
        task::JoinHandle,
        time::{interval, sleep},
    },
};

const OPERATOR_TOKEN: &str = "operator-token-of-measures";
const MESH_TOKEN: &str = "mesh-token-of-measures";
const DATA_CENTRES: usize = 4;
const REGIONS: usize = 2;
/// Number of services.
const SERVICES: usize = 10;
/// Number of plans and of grants in the lists.
pub const GRANTS: usize = 500;
/// Maximum wait for the first edit to be accepted, or for a version to be in force everywhere.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Daemon of the fleet, with the proxy in front of its peer port.
#[derive(Debug)]
pub struct Member {
    /// The daemon's process.
    pub node: Node<Arc<Daemon>>,
    /// Proxy for the connections of its children.
    pub children: CountingProxy,
    announce_task: JoinHandle<()>,
}

impl Drop for Member {
    fn drop(&mut self) {
        self.announce_task.abort();
    }
}

/// Running mesh; everything stops when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The control replica.
    pub control: Node<Arc<Control>>,
    /// Proxies for the connections of each region's daemons to control, which is in region 0.
    pub control_proxies: Vec<CountingProxy>,
    /// The daemons.
    pub members: Vec<Member>,
    proxy_runtime: Handle,
    operator_address: SocketAddr,
    /// Version accepted last.
    version: u64,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts `daemons` daemons and waits until all have the lists in force.
    pub async fn start(daemons: usize, proxy_runtime: &Handle) -> Result<Self, BoxError> {
        let folder = tempfile::tempdir()?;
        let control = start_control(folder.path())?;
        let control_proxies = (0..REGIONS)
            .map(|_| CountingProxy::start(proxy_runtime))
            .collect::<Result<Vec<_>, _>>()?;
        for proxy in &control_proxies {
            proxy.set_target(control.inner.peer_address());
        }
        let operator_address = control.inner.operator_address();
        let mut fleet = Self {
            operator_address: operator_address.ok_or("control has no operator port")?,
            control,
            control_proxies,
            members: Vec::new(),
            proxy_runtime: proxy_runtime.clone(),
            version: 0,
            _folder: folder,
        };
        for n in 0..daemons {
            let member = fleet.start_member(n)?;
            fleet.members.push(member);
        }
        fleet.put_initial_lists().await?;
        fleet.await_version().await?;
        Ok(fleet)
    }

    /// Stops the daemons with the numbers that `stopped` selects, then starts them again.
    pub fn restart(&mut self, stopped: impl Fn(usize) -> bool) -> Result<(), BoxError> {
        let members = std::mem::take(&mut self.members);
        let members = members.into_iter().enumerate();
        let kept: Vec<_> = members
            .map(|(n, member)| (!stopped(n)).then_some(member))
            .collect();
        for (n, member) in kept.into_iter().enumerate() {
            let member = match member {
                Some(member) => member,
                None => self.start_member(n)?,
            };
            self.members.push(member);
        }
        Ok(())
    }

    fn start_member(&self, n: usize) -> Result<Member, BoxError> {
        let children = CountingProxy::start(&self.proxy_runtime)?;
        let data_centre = n % DATA_CENTRES;
        let region = data_centre * REGIONS / DATA_CENTRES;
        let text = format!(
            "name: daemon-{n:04}\nregion: region-{region}\ndata_centre: dc-{data_centre}\n\
             caller_address: 127.0.0.1:0\nlocal_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\nadvertise: {}\ncontrol: [\"{}\"]\n\
             mesh_token: {MESH_TOKEN}\n",
            children.address, self.control_proxies[region].address,
        );
        let node = Node::start(&format!("daemon-{n:04}"), move || async move {
            let cfg = settings::Daemon::parse(Path::new("measures.yaml"), &text)?;
            let listeners = daemon::Listeners::bind(&cfg).await?;
            Ok(Arc::new(Daemon::start(cfg, listeners)?))
        })?;
        children.set_target(node.inner.peer_address());
        let announce_task = tokio::spawn(announce(n, node.inner.local_address()));
        Ok(Member {
            node,
            children,
            announce_task,
        })
    }

    /// Puts the first lists; retries until a leader is elected.
    async fn put_initial_lists(&mut self) -> Result<(), BoxError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.put_lists(Some(plans()), grants(0)).await {
                Ok(()) => return Ok(()),
                Err(e) if Instant::now() > deadline => return Err(e),
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Changes the capacity of one grant.
    pub async fn edit(&mut self) -> Result<(), BoxError> {
        self.put_lists(None, grants(self.version)).await
    }

    async fn put_lists(&mut self, plans: Option<String>, grants: String) -> Result<(), BoxError> {
        let edit = EditRequest {
            edit_id: format!("measures-{}", self.version),
            base_version: self.version,
            plans,
            grants: Some(grants),
        };
        let req = Request::post(EDITS)
            .header(header::HOST, "control")
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"))
            .body(body::full(serde_json::to_vec(&edit)?))?;
        let response = http_client::send(self.operator_address, req).await?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(response.body()).into_owned();
            return Err(format!("edit refused with {}: {text}", response.status()).into());
        }
        let answer: EditResponse = serde_json::from_slice(response.body())?;
        self.version = answer.version;
        Ok(())
    }

    /// Returns the version accepted last.
    pub const fn version(&self) -> Version {
        Version(self.version)
    }

    /// Waits until the version accepted last is in force at all daemons.
    pub async fn await_version(&self) -> Result<(), BoxError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while let Some(lagging) = self.members.iter().find(|m| !self.is_current(m)) {
            if Instant::now() > deadline {
                let in_force = lagging.node.inner.in_force();
                return Err(
                    format!("a daemon has {in_force:?} in force, not {}", self.version).into(),
                );
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    fn is_current(&self, member: &Member) -> bool {
        member.node.inner.in_force() >= Some(self.version())
    }

    /// Returns all daemons.
    pub fn daemons(&self) -> Vec<Arc<Daemon>> {
        let inner = |member: &Member| Arc::clone(&member.node.inner);
        self.members.iter().map(inner).collect()
    }

    /// Returns the bytes between control and the daemons of region `region`.
    pub fn control_bytes(&self, region: usize) -> Bytes {
        self.control_proxies[region].bytes()
    }
}

/// Announces server `n` to the daemon at `local` once per second.
async fn announce(n: usize, local: SocketAddr) {
    let announcement = Announcement {
        server: format!("server-{n:04}").as_str().into(),
        service: format!("service-{}", n % SERVICES).as_str().into(),
        address: ([127, 0, 0, 1], 9).into(),
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1,
    };
    let mut ticker = interval(Duration::from_secs(1));
    loop {
        ticker.tick().await;
        let Ok(buf) = serde_json::to_vec(&announcement) else {
            return;
        };
        let req = Request::post(ANNOUNCE_PATH).header(header::HOST, "daemon");
        if let Ok(req) = req.body(body::full(buf)) {
            // Errors are ignored: a daemon that has just stopped refuses the connection, and this
            // task is then aborted.
            drop(http_client::send(local, req).await);
        }
    }
}

fn start_control(folder: &Path) -> Result<Node<Arc<Control>>, BoxError> {
    let hash = Digest::of(OPERATOR_TOKEN.as_bytes());
    let text = format!(
        "name: config-1\ngroup: config\nregion: region-0\ndata_centre: dc-0\n\
         peer_address: 127.0.0.1:0\ndata_folder: config-1\n\
         bootstrap: [{{ name: config-1, address: \"127.0.0.1:0\" }}]\n\
         operator_address: 127.0.0.1:0\noperators: [{{ name: measures, token_hash: {hash} }}]\n\
         mesh_token: {MESH_TOKEN}\n"
    );
    let path = folder.join("config.yaml");
    Node::start("control", move || async move {
        let cfg = settings::Control::parse(&path, &text)?;
        let listeners = control::Listeners::bind(&cfg).await?;
        Ok(Arc::new(Control::start(cfg, listeners, true).await?))
    })
}

fn plans() -> String {
    let plan = |n: usize| {
        let hash = Digest::of(&n.to_le_bytes());
        format!("- {{ name: plan-{n:04}, key_hashes: [{hash}], home_region: region-0 }}\n")
    };
    format!("plans:\n{}", (0..GRANTS).map(plan).collect::<String>())
}

/// Returns the grants after `edits` edits, each of which raises the capacity of one grant by 1.
fn grants(edits: u64) -> String {
    let grant = |n: usize| {
        let raised_by = edits / GRANTS as u64 + u64::from((edits % GRANTS as u64) > n as u64);
        let (service, capacity) = (n % SERVICES, 100 + raised_by);
        format!(
            "- {{ plan: plan-{n:04}, service: service-{service}, capacity: {capacity}, rank: normal }}\n"
        )
    };
    format!("grants:\n{}", (0..GRANTS).map(grant).collect::<String>())
}
