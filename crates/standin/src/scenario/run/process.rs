//! One daemon process under the runner's control.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// How often a stopping process is looked at.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A daemon that can be started, signalled and started again with the same settings.
pub(super) struct Process {
    program: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Process {
    /// Writes the settings into `folder` and keeps the log there; starts nothing yet.
    pub(super) fn new(program: &Path, folder: PathBuf, settings: &str) -> io::Result<Process> {
        fs::create_dir_all(folder.join("settings"))?;
        fs::write(folder.join("settings/10-process.json"), settings)?;
        Ok(Process { program: program.to_owned(), folder, child: Mutex::new(None) })
    }

    /// Starts it, unless it runs.
    pub(super) fn start(&self) -> io::Result<()> {
        let mut slot = self.slot();
        if let Some(child) = slot.as_mut()
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(self.folder.join("settings"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *slot = Some(child);
        Ok(())
    }

    /// Sends it a signal; a process that is gone is left alone.
    pub(super) fn signal(&self, signal: Signal) {
        let slot = self.slot();
        let pid = slot.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // The child isn't reaped while the slot holds it, so the id can't be another's.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it and waits for its end.
    pub(super) fn kill(&self) {
        if let Some(mut child) = self.slot().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it ended by itself within `limit`.
    pub(super) fn ends_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ended = match self.slot().as_mut() {
                Some(child) => matches!(child.try_wait(), Ok(Some(_))),
                None => true,
            };
            if ended {
                return true;
            }
            std::thread::sleep(STOP_POLL);
        }
        false
    }

    /// Whether it runs.
    pub(super) fn runs(&self) -> bool {
        self.slot().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The last lines that it logged.
    pub(super) fn log_tail(&self, lines: usize) -> String {
        let text = fs::read_to_string(self.log_path()).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log.txt")
    }

    fn slot(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
