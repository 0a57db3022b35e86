//! The thread that all servers of a process share.

use std::future;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::runtime::{Builder, Handle};

/// Maximum number of handler threads of a process; each server has its own, lower bound.
const MAX_HANDLER_THREADS: usize = 2_048;
/// Time after which an idle handler thread ends.
const HANDLER_KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Stack size of a handler thread.
const HANDLER_STACK_BYTES: usize = 256 << 10;

static RUNTIME: Mutex<Option<Arc<Runtime>>> = Mutex::new(None);

/// A running event loop.
pub(super) struct Runtime {
    pub(super) handle: Handle,
    thread: JoinHandle<()>,
}

impl Runtime {
    /// Returns the process's event loop, which is started at the first call.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread or its `epoll` cannot be created.
    pub(super) fn get() -> io::Result<Arc<Self>> {
        let mut running = RUNTIME.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(runtime) = &*running {
            return Ok(Arc::clone(runtime));
        }
        let runtime = Arc::new(Self::start()?);
        *running = Some(Arc::clone(&runtime));
        Ok(runtime)
    }

    fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .max_blocking_threads(MAX_HANDLER_THREADS)
            .thread_keep_alive(HANDLER_KEEP_ALIVE)
            .thread_stack_size(HANDLER_STACK_BYTES)
            .thread_name("http-handler")
            .build()?;
        let handle = runtime.handle().clone();
        let run = move || runtime.block_on(future::pending());
        let thread = thread::Builder::new().name("http".to_owned()).spawn(run)?;
        Ok(Self { handle, thread })
    }

    /// Returns whether the thread has ended.
    pub(super) fn failed(&self) -> bool {
        self.thread.is_finished()
    }
}
