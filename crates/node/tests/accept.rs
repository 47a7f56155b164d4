//! Accepting connections while the process has no descriptor left.

use std::cell::Cell;
use std::fs::File;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{Runtime, spawn};
use compio::time::sleep;
use monsoondeal_node::accept::{Acceptor, descriptor_limit, is_shortage};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Time for which the process has no descriptor left.
const SHORTAGE: Duration = Duration::from_millis(400);
/// Longest time from the first free descriptor until a waiting connection is accepted.
const ACCEPT_TIME: Duration = Duration::from_secs(1);

/// Guards against a listener that keeps its thread busy while it fails (CONFIG): other tasks run meanwhile, failures
/// are few, and the waiting connection is accepted soon after a descriptor is free.
#[test]
fn other_tasks_run_while_accept_fails() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let failures: Rc<Cell<u64>> = Rc::default();
        let mut acceptor = Acceptor::new("test", listener, failures.clone());
        let _waiting = TcpStream::connect(addr).expect("the kernel accepts it");
        let limit = getrlimit(Resource::Nofile);
        setrlimit(
            Resource::Nofile,
            Rlimit {
                current: Some(64),
                ..limit
            },
        )
        .expect("a lower limit");
        assert_eq!(descriptor_limit(), 64);
        let mut files: Vec<File> = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            files.push(file);
        }
        let freed_at: Rc<Cell<Option<Instant>>> = Rc::default();
        let freeing = freed_at.clone();
        spawn(async move {
            sleep(SHORTAGE).await;
            drop(files);
            freeing.set(Some(Instant::now()));
        })
        .detach();
        while let Err(error) = acceptor.accept().await {
            assert!(is_shortage(&error), "{error}");
        }
        let freed_at = freed_at.get().expect("accepted only after that");
        assert!(freed_at.elapsed() < ACCEPT_TIME);
        assert!((2..=20).contains(&failures.get()), "{}", failures.get());
    });
}
