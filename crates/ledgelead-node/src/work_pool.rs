//! A thread pool with a bounded queue, for blocking calls.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

/// A pool of threads that run jobs of one kind in the order of submission.
pub struct WorkPool<J> {
    shared: Arc<Shared<J>>,
}

struct Shared<J> {
    queue: Mutex<Queue<J>>,
    job_available: Condvar,
    all_idle: Condvar,
}

struct Queue<J> {
    jobs: VecDeque<J>,
    capacity: usize,
    threads: usize,
    idle: usize,
    closed: bool,
}

/// The pool's queue is full or the pool is closed; the job is handed back.
#[derive(Debug)]
pub struct Rejected<J>(pub J);

impl<J: Send + 'static> WorkPool<J> {
    /// Starts `threads` threads that call `run` for each job. At most `capacity` jobs
    /// are queued beyond the idle threads.
    ///
    /// # Errors
    /// When the system can't create more threads.
    pub fn start(
        name: &str,
        threads: usize,
        capacity: usize,
        run: impl Fn(J) + Send + Sync + 'static,
    ) -> std::io::Result<WorkPool<J>> {
        let pool = WorkPool {
            shared: Arc::new(Shared {
                queue: Mutex::new(Queue {
                    jobs: VecDeque::new(),
                    capacity,
                    threads,
                    idle: 0,
                    closed: false,
                }),
                job_available: Condvar::new(),
                all_idle: Condvar::new(),
            }),
        };
        let run = Arc::new(run);
        for _ in 0..threads {
            let shared = pool.shared.clone();
            let run = run.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || shared.run_worker(&*run))?;
        }
        Ok(pool)
    }

    /// Queues a job.
    pub fn submit(&self, job: J) -> Result<(), Rejected<J>> {
        let mut queue = self.shared.lock();
        if queue.closed || queue.jobs.len() >= queue.capacity + queue.idle {
            return Err(Rejected(job));
        }
        queue.jobs.push_back(job);
        drop(queue);
        self.shared.job_available.notify_one();
        Ok(())
    }
}

impl<J> WorkPool<J> {
    /// Stops each thread after its running job; queued jobs are dropped.
    pub fn close(&self) {
        let mut queue = self.shared.lock();
        queue.closed = true;
        queue.jobs.clear();
        drop(queue);
        self.shared.job_available.notify_all();
    }
}

impl<J> WorkPool<J> {
    /// Waits until no job is queued or running; false if `deadline` passes first.
    pub fn wait_until_idle(&self, deadline: Instant) -> bool {
        let mut queue = self.shared.lock();
        loop {
            if queue.jobs.is_empty() && queue.idle == queue.threads {
                return true;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let wait = self.shared.all_idle.wait_timeout(queue, remaining);
            queue = wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl<J> Drop for WorkPool<J> {
    fn drop(&mut self) {
        self.close();
    }
}

impl<J> Shared<J> {
    fn run_worker(&self, run: &dyn Fn(J)) {
        while let Some(job) = self.next_job() {
            run(job);
        }
    }

    fn next_job(&self) -> Option<J> {
        let mut queue = self.lock();
        loop {
            if let Some(job) = queue.jobs.pop_front() {
                return Some(job);
            }
            if queue.closed {
                return None;
            }
            queue.idle += 1;
            if queue.idle == queue.threads {
                self.all_idle.notify_all();
            }
            queue = self
                .job_available
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
            queue.idle -= 1;
        }
    }

    /// Nothing can panic while the lock is held, so the data of a poisoned lock is
    /// consistent.
    fn lock(&self) -> MutexGuard<'_, Queue<J>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
