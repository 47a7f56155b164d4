//! A complete system of separate processes on loopback: store, leafs and nodes.

use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use cyper::Client;
use monsoondeal_config::{LeafSpec, NextVersion, ServiceMap};
use monsoondeal_core::{IndexVersion, LeafId, MapVersion, Snapshot};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::caller::NodeAddrs;
use crate::leaf::{LeafAddrs, LeafControl, LeafStats};
use crate::process::{Process, program_path};
use crate::store::{StoreFaults, StoreStats};

/// Maximum wait until a process has started.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Offset of the identifiers of a next version's leafs from those of the current version's leafs.
const NEXT_VERSION_ID_OFFSET: u64 = 100_000;
/// Number of leaf identifiers reserved for each service.
const LEAF_IDS_PER_SERVICE: u64 = 1_000;

/// `ServiceSpec` describes a service and its leafs.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Owner of the service.
    pub owner: &'static str,
    /// Number of groups in the partition map.
    pub groups: usize,
    /// Number of leafs in each group.
    pub replicas: usize,
    /// Command-line options of the leaf process.
    pub leaf_args: Vec<String>,
    /// Settings of the service, as pairs of name and value.
    pub settings: Vec<(&'static str, &'static str)>,
    /// Settings of request kinds, as kind, name and value.
    pub kind_settings: Vec<(&'static str, &'static str, &'static str)>,
}

/// `RunningService` is a service with the process of its leafs.
#[derive(Debug)]
pub struct RunningService {
    /// Description of the service.
    pub spec: ServiceSpec,
    /// Partition map that `System` has published for the service.
    pub map: ServiceMap,
    addrs: LeafAddrs,
    _process: Process,
    next_process: Option<Process>,
}

/// `RunningNode` is a node process.
#[derive(Debug)]
pub struct RunningNode {
    /// Addresses for callers and operators.
    pub addrs: NodeAddrs,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Process of the node.
    pub process: Process,
}

/// `System` is a running system. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct System {
    /// Base address of the store.
    pub store_url: String,
    /// Failure domains over which nodes and leafs are spread.
    pub domains: Vec<&'static str>,
    /// Services in the order of their start.
    pub services: Vec<RunningService>,
    /// Nodes in the order of their start.
    pub nodes: Vec<RunningNode>,
    /// Folder of the nodes' settings files.
    settings_dir: std::path::PathBuf,
    client: Client,
    _store: Process,
    nodes_started: usize,
}

impl System {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not start.
    pub fn start(name: &str, domains: Vec<&'static str>) -> io::Result<Self> {
        let store = Process::start("standin", &["store"])?;
        let addr = store.wait_line("127.0.0.1", START_TIMEOUT)?;
        let settings_dir =
            std::env::temp_dir().join(format!("monsoondeal-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&settings_dir)?;
        Ok(Self {
            store_url: format!("http://{addr}"),
            domains,
            services: Vec::new(),
            nodes: Vec::new(),
            settings_dir,
            client: Client::new(),
            _store: store,
            nodes_started: 0,
        })
    }

    /// Starts the leafs of a service, writes its partition map and creates the service, its owner and its
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error if one of these steps fails.
    pub async fn add_service(&mut self, spec: ServiceSpec) -> io::Result<()> {
        let (process, addrs) = start_leafs(&spec)?;
        let map = self.initial_map(&spec, &addrs);
        self.put(&format!("map/{}", spec.name), &map).await?;

        let known = self.services.iter().any(|s| s.spec.owner == spec.owner);
        if !known {
            self.ctl(&["create-owner", spec.owner])?;
        }
        self.ctl(&["create-service", spec.name, "--owner", spec.owner])?;
        let level = format!("/{}/{}", spec.owner, spec.name);
        for (setting, value) in &spec.settings {
            self.ctl(&["set", &level, setting, value])?;
        }
        for (kind, setting, value) in &spec.kind_settings {
            self.ctl(&["set", &format!("{level}/{kind}"), setting, value])?;
        }
        self.services.push(RunningService {
            spec,
            map,
            addrs,
            _process: process,
            next_process: None,
        });
        Ok(())
    }

    /// Starts leafs with the next version of a service, and publishes them beside the current ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the leafs do not start, or the map cannot be written.
    pub async fn add_next_version(&mut self, service: usize) -> io::Result<()> {
        let spec = self.services[service].spec.clone();
        let (process, addrs) = start_leafs(&spec)?;
        let control = LeafControl {
            index: Some(2),
            ..LeafControl::default()
        };
        self.post(&format!("http://{}/control", addrs.control), &control)
            .await?;
        let next_map = self.initial_map(&spec, &addrs);
        let mut snapshot = next_map.snapshot;
        snapshot.index = IndexVersion(2);
        let mut groups = next_map.groups;
        for leaf in groups.iter_mut().flatten() {
            leaf.leaf.0 += NEXT_VERSION_ID_OFFSET;
        }
        let running = &mut self.services[service];
        running.map.next = Some(NextVersion { snapshot, groups });
        running.next_process = Some(process);
        let map = running.map.clone();
        self.publish_map(&map).await
    }

    /// Starts a node and returns its position.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not start.
    pub fn add_node(&mut self) -> io::Result<usize> {
        let domain = self.domains[self.nodes_started % self.domains.len()];
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|n| n.peer).collect();
        let settings = serde_json::json!({
            "cell": "main",
            "domain": domain,
            "listen": {
                "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0",
            },
            "store": self.store_url,
            "seeds": seeds,
            "heartbeat_ms": 200,
            "hold_ms": 1000,
        });
        let file = self
            .settings_dir
            .join(format!("node-{}.jsonc", self.nodes_started));
        self.nodes_started += 1;
        std::fs::write(&file, format!("// Written for a test run.\n{settings:#}\n"))?;
        let file = file.display().to_string();
        let process = Process::start("monsoondeal", &["node", "--config", &file])?;
        let line: Value = serde_json::from_str(&process.wait_line("listening", START_TIMEOUT)?)?;
        let addr = |name: &str| {
            let text = find_text(&line, name).unwrap_or_default();
            text.parse::<SocketAddr>().map_err(io::Error::other)
        };
        let addrs = NodeAddrs {
            callers: addr("callers")?,
            admin: addr("admin")?,
        };
        self.nodes.push(RunningNode {
            addrs,
            peer: addr("peers")?,
            process,
        });
        Ok(self.nodes.len() - 1)
    }

    /// Waits until at every node the configuration is confirmed and the roster is settled and lists all
    /// nodes and leafs.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes more than 30 s.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT * 3;
        while Instant::now() < deadline {
            let mut ready = 0;
            for node in &self.nodes {
                let state = self.node_state(node.addrs.admin).await.unwrap_or_default();
                let members = state["roster"]["members"].as_array().map_or(0, Vec::len);
                let placed_leafs = state["roster"]["seats"].as_array().map_or(0, Vec::len);
                let expected_leafs: usize =
                    self.services.iter().map(|s| s.map.leafs().count()).sum();
                let settled = state["versions"]["settled"].as_bool() == Some(true);
                let confirmed = state["confirmed"].as_bool() == Some(true);
                let all = members == self.nodes.len() && placed_leafs == expected_leafs;
                ready += usize::from(all && settled && confirmed);
            }
            if ready == self.nodes.len() {
                return Ok(());
            }
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(io::Error::other("nodes were not ready in time"))
    }

    /// Returns the state dump of a node, if it answers.
    pub async fn node_state(&self, admin: SocketAddr) -> Option<Value> {
        self.get(&format!("http://{admin}/state")).await.ok()
    }

    /// Runs an operator's command and returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error if the exit code is not 0.
    pub fn ctl(&self, args: &[&str]) -> io::Result<String> {
        let (code, text) = self.ctl_with_code(args)?;
        if code == Some(0) {
            Ok(text)
        } else {
            Err(io::Error::other(format!("ctl {args:?}: {text}")))
        }
    }

    /// Runs an operator's command and returns its exit code and output.
    ///
    /// # Errors
    ///
    /// Returns an error if the command cannot be started.
    pub fn ctl_with_code(&self, args: &[&str]) -> io::Result<(Option<i32>, String)> {
        let output = Command::new(program_path("monsoondeal"))
            .args(["ctl", "--store", &self.store_url])
            .args(args)
            .output()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        Ok((output.status.code(), text))
    }

    /// Sets the faults that the store simulates.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub async fn set_store_faults(&self, faults: StoreFaults) -> io::Result<()> {
        self.post(&format!("{}/control", self.store_url), &faults)
            .await
    }

    /// Returns the numbers of calls to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub async fn store_stats(&self) -> io::Result<StoreStats> {
        self.get(&format!("{}/stats", self.store_url)).await
    }

    /// Changes the behavior of a service's leafs.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub async fn control_leafs(&self, service: usize, control: &LeafControl) -> io::Result<()> {
        let addr = self.services[service].addrs.control;
        self.post(&format!("http://{addr}/control"), control).await
    }

    /// Returns the counters of a service's leafs.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not answer.
    pub async fn leaf_stats(&self, service: usize) -> io::Result<Vec<LeafStats>> {
        let addr = self.services[service].addrs.control;
        self.get(&format!("http://{addr}/stats")).await
    }

    /// Replaces a partition map in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn publish_map(&self, map: &ServiceMap) -> io::Result<()> {
        self.put(&format!("map/{}", map.service), map).await
    }

    /// Reads a URL as text.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response.
    pub async fn get_text(&self, url: &str) -> io::Result<String> {
        let request = self.client.get(url).map_err(io::Error::other)?;
        let response = request.send().await.map_err(io::Error::other)?;
        response.text().await.map_err(io::Error::other)
    }

    fn initial_map(&self, spec: &ServiceSpec, addrs: &LeafAddrs) -> ServiceMap {
        let base = (self.services.len() as u64 + 1) * LEAF_IDS_PER_SERVICE;
        let leaf = |at: usize, replica: usize| LeafSpec {
            leaf: LeafId(base + at as u64),
            addr: addrs.leafs[at],
            domain: self.domains[(at / spec.replicas + replica) % self.domains.len()].to_owned(),
        };
        let group = |g: usize| {
            (0..spec.replicas)
                .map(|r| leaf(g * spec.replicas + r, r))
                .collect()
        };
        ServiceMap {
            service: spec.name.to_owned(),
            snapshot: Snapshot {
                index: IndexVersion(1),
                map: MapVersion(1),
            },
            groups: (0..spec.groups).map(group).collect(),
            next: None,
        }
    }

    async fn put<T>(&self, key: &str, value: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let url = format!("{}/v1/objects/{key}", self.store_url);
        let existing = self.client.get(&url).map_err(io::Error::other)?;
        let existing = existing.send().await.map_err(io::Error::other)?;
        let tag = existing.headers().get("etag").cloned();
        let request = self.client.put(&url).map_err(io::Error::other)?;
        let request = match tag {
            Some(tag) => request.header("if-match", tag),
            None => request.header("if-none-match", "*"),
        };
        let request = request
            .map_err(io::Error::other)?
            .body(serde_json::to_vec(value)?);
        let response = request.send().await.map_err(io::Error::other)?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "write of '{key}': {}",
            response.status()
        )))
    }

    async fn post<T>(&self, url: &str, value: &T) -> io::Result<()>
    where
        T: Serialize,
    {
        let request = self.client.post(url).map_err(io::Error::other)?;
        let request = request.body(serde_json::to_vec(value)?);
        request.send().await.map_err(io::Error::other)?;
        Ok(())
    }

    async fn get<T>(&self, url: &str) -> io::Result<T>
    where
        T: DeserializeOwned,
    {
        let request = self.client.get(url).map_err(io::Error::other)?;
        let response = request.send().await.map_err(io::Error::other)?;
        response.json().await.map_err(io::Error::other)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.settings_dir);
    }
}

/// Starts the leafs of a service and returns their addresses.
fn start_leafs(spec: &ServiceSpec) -> io::Result<(Process, LeafAddrs)> {
    let count = (spec.groups * spec.replicas).to_string();
    let mut args = vec!["leafs", "--count", &count];
    args.extend(spec.leaf_args.iter().map(String::as_str));
    let process = Process::start("standin", &args)?;
    let line = process.wait_line("control", START_TIMEOUT)?;
    let addrs = serde_json::from_str(&line)?;
    Ok((process, addrs))
}

/// Finds a text field anywhere in a log line.
fn find_text<'a>(value: &'a Value, name: &str) -> Option<&'a str> {
    match value {
        Value::Object(fields) => match fields.get(name) {
            Some(Value::String(text)) => Some(text),
            _ => fields.values().find_map(|v| find_text(v, name)),
        },
        _ => None,
    }
}

/// Returns the services of the demo, with 40 and 60 leafs.
pub fn demo_services() -> Vec<ServiceSpec> {
    let args = |text: &str| text.split(' ').map(str::to_owned).collect();
    vec![
        ServiceSpec {
            name: "catalogue",
            owner: "rilegatoria",
            groups: 20,
            replicas: 2,
            leaf_args: args("--slots 3 --connections 30 --connect-ms 6 --service-us 1500 --seed 7"),
            settings: vec![("slots", "3"), ("deadline_ms", "500")],
            kind_settings: vec![
                ("urgent", "priority", "first"),
                ("provenance", "weight", "2"),
            ],
        },
        ServiceSpec {
            name: "ordering",
            owner: "rilegatoria",
            groups: 30,
            replicas: 2,
            leaf_args: args("--slots 3 --connections 30 --connect-ms 6 --service-us 1500 --seed 9"),
            settings: vec![("slots", "3"), ("deadline_ms", "500")],
            kind_settings: vec![
                ("order", "repeatable", "false"),
                ("order", "priority", "first"),
            ],
        },
    ]
}
