//! Starts programs of this workspace and sends them signals.

use std::env;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// `Process` is a child process, which is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Receiver<String>,
}

/// Returns the path of a program of this workspace: in the folder of the running program, or in its
/// parent if that folder is `deps`, as for tests.
pub fn program_path(name: &str) -> PathBuf {
    let mut dir = env::current_exe().unwrap_or_default();
    dir.pop();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start(name: &str, args: &[&str]) -> io::Result<Self> {
        let mut child = Command::new(program_path(name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let (sender, lines) = channel();
        if let Some(stdout) = child.stdout.take() {
            // The pipe must be read to its end, or the program blocks when it is full.
            thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    let _ = sender.send(line);
                }
            });
        }
        Ok(Self { child, lines })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the next line of the standard output that contains `text`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such line within the timeout.
    pub fn wait_line(&self, text: &str, timeout: Duration) -> io::Result<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(_) => {}
                Err(_) => return Err(io::Error::other(format!("no line with '{text}' in time"))),
            }
        }
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill exited with an error"))
        }
    }

    /// Waits for the process to exit and returns whether the exit code was 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit within the timeout.
    pub fn wait_exit(&mut self, timeout: Duration) -> io::Result<bool> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.success());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("process did not exit in time"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
