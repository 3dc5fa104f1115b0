//! A mesh of one control replica and many daemons, with counted connections.

use {
    super::{
        node::Node,
        pipe::{Bytes, Pipe},
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
/// Services of the fleet.
const SERVICES: usize = 10;
/// Plans and grants in the lists.
pub const GRANTS: usize = 500;
/// Longest wait for a fleet or a version.
const PATIENCE: Duration = Duration::from_secs(30);

/// A daemon of the fleet with the forwarder in front of its peer port.
#[derive(Debug)]
pub struct Member {
    /// The process.
    pub node: Node<Arc<Daemon>>,
    /// Connections of its children.
    pub children: Pipe,
    announcing: JoinHandle<()>,
}

impl Drop for Member {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

/// The running mesh.
#[derive(Debug)]
pub struct Fleet {
    /// The control replica.
    pub control: Node<Arc<Control>>,
    /// Connections of the daemons of each region to control; control is in the first one.
    pub to_control: Vec<Pipe>,
    /// The daemons.
    pub members: Vec<Member>,
    pipes: Handle,
    operators: SocketAddr,
    version: u64,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts `daemons` daemons and waits until all have the lists in force.
    pub async fn start(daemons: usize, pipes: &Handle) -> Result<Self, BoxError> {
        let folder = tempfile::tempdir()?;
        let control = start_control(folder.path())?;
        let to_control = (0..REGIONS)
            .map(|_| Pipe::start(pipes))
            .collect::<Result<Vec<_>, _>>()?;
        for pipe in &to_control {
            pipe.lead_to(control.inner.peer_address());
        }
        let operators = control.inner.operator_address();
        let mut fleet = Self {
            operators: operators.ok_or("control has no operator port")?,
            control,
            to_control,
            members: Vec::new(),
            pipes: pipes.clone(),
            version: 0,
            _folder: folder,
        };
        for n in 0..daemons {
            let member = fleet.start_member(n)?;
            fleet.members.push(member);
        }
        fleet.put_first().await?;
        fleet.await_version().await?;
        Ok(fleet)
    }

    /// Ends the daemons that `ended` names, then starts them again.
    pub fn restart(&mut self, ended: impl Fn(usize) -> bool) -> Result<(), BoxError> {
        let members = std::mem::take(&mut self.members);
        let members = members.into_iter().enumerate();
        let kept: Vec<_> = members
            .map(|(n, member)| (!ended(n)).then_some(member))
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
        let children = Pipe::start(&self.pipes)?;
        let data_centre = n % DATA_CENTRES;
        let region = data_centre * REGIONS / DATA_CENTRES;
        let text = format!(
            "name: daemon-{n:04}\nregion: region-{region}\ndata_centre: dc-{data_centre}\n\
             caller_address: 127.0.0.1:0\nlocal_address: 127.0.0.1:0\n\
             peer_address: 127.0.0.1:0\nadvertise: {}\ncontrol: [\"{}\"]\n\
             mesh_token: {MESH_TOKEN}\n",
            children.address, self.to_control[region].address,
        );
        let node = Node::start(&format!("daemon-{n:04}"), move || async move {
            let cfg = settings::Daemon::parse(Path::new("measures.yaml"), &text)?;
            let listeners = daemon::Listeners::bind(&cfg).await?;
            Ok(Arc::new(Daemon::start(cfg, listeners)?))
        })?;
        children.lead_to(node.inner.peer_address());
        let announcing = tokio::spawn(announce(n, node.inner.local_address()));
        Ok(Member {
            node,
            children,
            announcing,
        })
    }

    /// Puts the first lists, once the leader is elected.
    async fn put_first(&mut self) -> Result<(), BoxError> {
        let deadline = Instant::now() + PATIENCE;
        loop {
            match self.put(Some(plans()), grants(0)).await {
                Ok(()) => return Ok(()),
                Err(e) if Instant::now() > deadline => return Err(e),
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    /// Changes the capacity of one grant.
    pub async fn edit(&mut self) -> Result<(), BoxError> {
        self.put(None, grants(self.version)).await
    }

    async fn put(&mut self, plans: Option<String>, grants: String) -> Result<(), BoxError> {
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
        let response = http_client::send(self.operators, req).await?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(response.body()).into_owned();
            return Err(format!("edit refused with {}: {text}", response.status()).into());
        }
        let answer: EditResponse = serde_json::from_slice(response.body())?;
        self.version = answer.version;
        Ok(())
    }

    /// Version accepted last.
    pub const fn version(&self) -> Version {
        Version(self.version)
    }

    /// Waits until the version accepted last is in force at all daemons.
    pub async fn await_version(&self) -> Result<(), BoxError> {
        let deadline = Instant::now() + PATIENCE;
        while let Some(behind) = self.members.iter().find(|m| !self.is_current(m)) {
            if Instant::now() > deadline {
                let held = behind.node.inner.in_force();
                return Err(format!("a daemon has {held:?} in force, not {}", self.version).into());
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    fn is_current(&self, member: &Member) -> bool {
        member.node.inner.in_force() >= Some(self.version())
    }

    /// The daemons.
    pub fn daemons(&self) -> Vec<Arc<Daemon>> {
        let inner = |member: &Member| Arc::clone(&member.node.inner);
        self.members.iter().map(inner).collect()
    }

    /// Bytes between control and the daemons of region `region`.
    pub fn control_bytes(&self, region: usize) -> Bytes {
        self.to_control[region].bytes()
    }
}

async fn announce(n: usize, local: SocketAddr) {
    let announcement = Announcement {
        server: format!("server-{n:04}").as_str().into(),
        service: format!("service-{}", n % SERVICES).as_str().into(),
        address: ([127, 0, 0, 1], 9).into(),
        slots: 20,
        state: ServerState::Serving,
        incarnation: 1,
    };
    let mut seconds = interval(Duration::from_secs(1));
    loop {
        seconds.tick().await;
        let Ok(buf) = serde_json::to_vec(&announcement) else {
            return;
        };
        let req = Request::post(ANNOUNCE_PATH).header(header::HOST, "daemon");
        if let Ok(req) = req.body(body::full(buf)) {
            // A daemon that has just been ended refuses; its task is ended next.
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

/// The grants; each `edit` gives one of them another capacity.
fn grants(edit: u64) -> String {
    let grant = |n: usize| {
        let edits = edit / GRANTS as u64 + u64::from((edit % GRANTS as u64) > n as u64);
        let (service, capacity) = (n % SERVICES, 100 + edits);
        format!(
            "- {{ plan: plan-{n:04}, service: service-{service}, capacity: {capacity}, rank: normal }}\n"
        )
    };
    format!("grants:\n{}", (0..GRANTS).map(grant).collect::<String>())
}
