//! Registry of services by name, and of running tasks, which are stopped in the
//! reverse order of their start.

use std::{
    any::Any,
    collections::BTreeMap,
    error::Error,
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use smol::Task;

use crate::{CancellationToken, ClockSource};

/// Error of registering or finding a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KernelError {
    /// No service of that name and type is registered.
    NotFound {
        /// Operation that was tried: `find`.
        step: String,
        /// Name that was looked up.
        peer: String,
    },
    /// A service is already registered under the name.
    NameTaken {
        /// Operation that was tried: `register`.
        step: String,
        /// Name that is taken.
        peer: String,
    },
}

impl fmt::Display for KernelError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound { step, peer } => {
                write!(formatter, "{step}: no service {peer} of the requested type")
            }
            Self::NameTaken { step, peer } => {
                write!(formatter, "{step}: service {peer} is already registered")
            }
        }
    }
}

impl Error for KernelError {}

struct RunningTask {
    name: String,
    token: CancellationToken,
    task: Task<()>,
}

/// Registry and life cycle of the services in a process.
pub struct ServiceKernel {
    clock: ClockSource,
    root: CancellationToken,
    services: Mutex<BTreeMap<String, Arc<dyn Any + Send + Sync>>>,
    running: Mutex<Vec<RunningTask>>,
}

impl ServiceKernel {
    /// Creates a kernel without services; cancelling `root` asks all tasks to end.
    #[must_use]
    pub fn new(clock: ClockSource, root: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            clock,
            root,
            services: Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// Clock that all services of the process use.
    #[must_use]
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Registers `service` under `name`.
    ///
    /// # Errors
    /// `KernelError::NameTaken` when a service has the name already.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: &str,
        service: Arc<T>,
    ) -> Result<(), KernelError> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(KernelError::NameTaken {
                step: "register".to_owned(),
                peer: name.to_owned(),
            });
        }
        services.insert(name.to_owned(), service);
        Ok(())
    }

    /// Finds the service registered under `name`.
    ///
    /// # Errors
    /// `KernelError::NotFound` when no service has that name and type.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, KernelError> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services
            .get(name)
            .cloned()
            .and_then(|service| service.downcast().ok())
            .ok_or_else(|| KernelError::NotFound {
                step: "find".to_owned(),
                peer: name.to_owned(),
            })
    }

    /// Starts a task under the label `name`, which need not be a registered
    /// service; `work` gets the token whose cancellation asks the task to end.
    pub fn start<F, W>(&self, name: &str, work: W)
    where
        W: FnOnce(CancellationToken) -> F,
        F: Future<Output = ()> + Send + 'static,
    {
        let token = self.root.child_token();
        let task = smol::spawn(work(token.clone()));
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.push(RunningTask {
            name: name.to_owned(),
            token,
            task,
        });
    }

    /// Asks the tasks started under the label `name` to end, by cancelling their
    /// tokens, and does not wait for them.
    pub fn cancel(&self, name: &str) {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for task in running.iter().filter(|task| task.name == name) {
            task.token.cancel();
        }
    }

    /// Stops all tasks, last started first: asks each to end, waits up to `limit`
    /// for it, and aborts it if it is still running then.
    ///
    /// Returns the labels of the aborted tasks.
    pub async fn stop(&self, limit: Duration) -> Vec<String> {
        let mut aborted = Vec::new();
        while let Some(mut running) = self.pop_running() {
            running.token.cancel();
            if self.clock.timeout(limit, &mut running.task).await.is_none() {
                running.task.cancel().await;
                aborted.push(running.name);
            }
        }
        aborted
    }

    fn pop_running(&self) -> Option<RunningTask> {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.pop()
    }
}
