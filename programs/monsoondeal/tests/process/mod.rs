//! The `edge` command as a process.
#![allow(dead_code)]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use soak::node::{NodeAddrs, SETTINGS_VARIABLE};

use crate::common::wait_until;

/// Path of the program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoondeal");
/// Number of nodes that the tests of this process have started.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A node process. It is killed when the test ends.
pub struct NodeProcess {
    pub child: Child,
    pub addrs: NodeAddrs,
    settings: PathBuf,
}

impl NodeProcess {
    /// Starts a node and waits until it is ready.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        let process = Self::start_with_logs(name, store, Stdio::null());
        process.wait_until_ready();
        process
    }

    /// Starts a node that may open `descriptors` file descriptors, and waits until it is ready.
    pub fn start_limited(name: &str, store: SocketAddr, descriptors: u32, logs: Stdio) -> Self {
        let limit = format!("ulimit -n {descriptors} && exec \"$0\" edge");
        let mut command = Command::new("sh");
        command.args(["-c", &limit, PROGRAM]);
        let process = Self::start_command(name, store, command, logs);
        process.wait_until_ready();
        process
    }

    /// Starts a node.
    pub fn start_with_logs(name: &str, store: SocketAddr, logs: Stdio) -> Self {
        let mut command = Command::new(PROGRAM);
        command.arg("edge");
        Self::start_command(name, store, command, logs)
    }

    fn start_command(name: &str, store: SocketAddr, command: Command, logs: Stdio) -> Self {
        let addrs = NodeAddrs::free();
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let file = format!("monsoondeal-{name}-{}-{number}.conf", std::process::id());
        let settings = std::env::temp_dir().join(file);
        fs::write(&settings, addrs.settings(store)).expect("a settings file");
        Self {
            child: spawn(command, &settings, logs),
            addrs,
            settings,
        }
    }

    pub fn wait_until_ready(&self) {
        wait_until("readiness", || self.addrs.is_ready());
    }

    /// Starts the process again, after it has ended.
    pub fn restart(&mut self) {
        let mut command = Command::new(PROGRAM);
        command.arg("edge");
        self.child = spawn(command, &self.settings, Stdio::null());
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("the kill command").success());
    }

    /// Returns the largest memory that the process has had so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a running process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.expect("a size") * 1024
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(mut command: Command, settings: &PathBuf, logs: Stdio) -> Child {
    command
        .env(SETTINGS_VARIABLE, settings)
        .stdout(logs)
        .spawn()
        .expect("the program starts")
}
