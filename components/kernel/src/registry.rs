//! Services by name, started in order and stopped in the reverse order.

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

/// Why the kernel could not do what was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KernelError {
    /// No service of that name and type is registered.
    Missing {
        /// What was tried.
        step: String,
        /// Name of the service.
        peer: String,
    },
    /// The name is taken.
    Taken {
        /// What was tried.
        step: String,
        /// Name of the service.
        peer: String,
    },
}

impl fmt::Display for KernelError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { step, peer } => write!(formatter, "{step}: no service {peer}"),
            Self::Taken { step, peer } => write!(formatter, "{step}: {peer} is registered already"),
        }
    }
}

impl Error for KernelError {}

struct RunningTask {
    name: String,
    token: CancellationToken,
    task: Task<()>,
}

/// Registry and life cycle of a process's services.
pub struct ServiceKernel {
    clock: ClockSource,
    root: CancellationToken,
    services: Mutex<BTreeMap<String, Arc<dyn Any + Send + Sync>>>,
    running: Mutex<Vec<RunningTask>>,
}

impl ServiceKernel {
    /// A kernel with no services; `root` cancels everything at once.
    #[must_use]
    pub fn new(clock: ClockSource, root: CancellationToken) -> Arc<Self> {
        Arc::new(Self {
            clock,
            root,
            services: Mutex::default(),
            running: Mutex::default(),
        })
    }

    /// The clock every service of the process reads.
    #[must_use]
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Registers `service` under `name`.
    ///
    /// # Errors
    /// `KernelError::Taken` when the name is in use.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: &str,
        service: Arc<T>,
    ) -> Result<(), KernelError> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(KernelError::Taken {
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
    /// `KernelError::Missing` when there is none of that name and type.
    pub fn find<T: Any + Send + Sync>(&self, name: &str) -> Result<Arc<T>, KernelError> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services
            .get(name)
            .cloned()
            .and_then(|service| service.downcast().ok())
            .ok_or_else(|| KernelError::Missing {
                step: "find".to_owned(),
                peer: name.to_owned(),
            })
    }

    /// Runs a service's task until its token is cancelled or it ends.
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

    /// Cancels the tasks started as `name` without waiting for their ends.
    pub fn cancel(&self, name: &str) {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for task in running.iter().filter(|task| task.name == name) {
            task.token.cancel();
        }
    }

    /// Stops the services, last started first, giving each `limit` to end.
    ///
    /// Returns the names of those that had to be cut.
    pub async fn stop(&self, limit: Duration) -> Vec<String> {
        let mut cut = Vec::new();
        while let Some(mut running) = self.pop_running() {
            running.token.cancel();
            if self.clock.timeout(limit, &mut running.task).await.is_none() {
                running.task.cancel().await;
                cut.push(running.name);
            }
        }
        cut
    }

    fn pop_running(&self) -> Option<RunningTask> {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.pop()
    }
}
